//! Markdown tables of figures over several rounds.

/// The median, minimum and maximum of the figures; a value that is not finite is printed as `never`.
pub fn median_and_range(figures: impl Iterator<Item = f64>, digits: usize) -> String {
    let mut figures: Vec<_> = figures.collect();
    figures.sort_by(f64::total_cmp);
    let at = |index: usize| match figures.get(index).copied().unwrap_or_default() {
        figure if figure.is_finite() => format!("{figure:.digits$}"),
        _ => "never".to_owned(),
    };
    let last = figures.len().saturating_sub(1);
    format!("{} ({} to {})", at(last / 2), at(0), at(last))
}

/// A column: its heading, the figure of one round, and its number of decimal places.
pub struct Column<T> {
    pub heading: &'static str,
    pub figure: fn(&T) -> f64,
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
            let figures = rounds.iter().map(|round| (column.figure)(round));
            median_and_range(figures, column.digits)
        })
        .collect();
    println!("| {} | {} |", names.join(" | "), cells.join(" | "));
}
