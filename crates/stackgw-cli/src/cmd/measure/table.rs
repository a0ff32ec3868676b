//! Markdown tables of values measured over several rounds.

/// Formats the median, minimum and maximum of the values. A value that is not finite is shown as `never`; without values, all
/// three are 0.
pub fn median_and_range(values: impl Iterator<Item = f64>, digits: usize) -> String {
    let mut values: Vec<_> = values.collect();
    values.sort_by(f64::total_cmp);
    let at = |index: usize| match values.get(index).copied().unwrap_or_default() {
        value if value.is_finite() => format!("{value:.digits$}"),
        _ => "never".to_owned(),
    };
    let last = values.len().saturating_sub(1);
    format!("{} ({} to {})", at(last / 2), at(0), at(last))
}

/// A column: its heading, its value for one round, and its number of decimal places.
pub struct Column<T> {
    pub heading: &'static str,
    pub value: fn(&T) -> f64,
    pub digits: usize,
}

/// Prints the table header: the headings of the row names, then those of the columns.
pub fn print_head<T>(row_headings: &[&str], columns: &[Column<T>]) {
    let headings: Vec<_> = row_headings
        .iter()
        .copied()
        .chain(columns.iter().map(|column| column.heading))
        .collect();
    println!("| {} |", headings.join(" | "));
    println!("|{}", " --- |".repeat(headings.len()));
}

/// Prints a row: its names, then the median and range of each column over the rounds.
pub fn print_row<T>(names: &[&str], columns: &[Column<T>], rounds: &[&T]) {
    let cells: Vec<_> = columns
        .iter()
        .map(|column| {
            let values = rounds.iter().map(|round| (column.value)(round));
            median_and_range(values, column.digits)
        })
        .collect();
    println!("| {} | {} |", names.join(" | "), cells.join(" | "));
}
