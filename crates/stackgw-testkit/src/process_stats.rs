//! Statistics of a process from `/proc`.

use std::time::Duration;

/// The clock tick of `/proc/PID/stat`, at 100 ticks per second.
const TICK: Duration = Duration::from_millis(10);

/// The indices of user and system time in `/proc/PID/stat`, counted after the command's name.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;

const KIB_PER_MIB: f64 = 1_024.0;

/// The CPU time of a process so far, in microseconds; `None` if it is not running.
pub fn cpu_time_us(pid: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, rest) = text.rsplit_once(')')?;
    let fields: Vec<_> = rest.split_whitespace().collect();
    let ticks = |field: usize| fields.get(field)?.parse::<f64>().ok();
    let ticks = ticks(USER_TICKS_FIELD)? + ticks(SYSTEM_TICKS_FIELD)?;
    Some(ticks * TICK.as_micros() as f64)
}

/// The resident memory of a process, in MiB; `None` if it is not running.
pub fn memory_mib(pid: u32) -> Option<f64> {
    status_mib(pid, "VmRSS:")
}

/// The peak resident memory of a process, in MiB; `None` if it is not running.
pub fn peak_memory_mib(pid: u32) -> Option<f64> {
    status_mib(pid, "VmHWM:")
}

fn status_mib(pid: u32, field: &str) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix(field))?;
    let kib = value.trim().strip_suffix(" kB")?.trim().parse::<f64>();
    kib.ok().map(|kib| kib / KIB_PER_MIB)
}

/// The number of open file descriptors of a process; `None` if it is not running.
pub(crate) fn descriptors(pid: u32) -> Option<usize> {
    let entries = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?;
    Some(entries.count())
}
