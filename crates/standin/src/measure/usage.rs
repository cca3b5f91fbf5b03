//! Resource usage of processes and of the loopback interface, from `/proc`.

use std::fs;
use std::time::Instant;

/// Clock ticks per second in the CPU times of `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Index of the user time among the fields of `/proc/PID/stat` after the process name.
const USER_TIME_FIELD: usize = 11;

/// Kibibytes per mebibyte.
const KIB_PER_MIB: f64 = 1_024.0;

/// Counters of processes and of the loopback interface at an instant.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    at: Instant,
    cpu_s: Vec<f64>,
    bytes: u64,
}

/// Usage between two samples.
#[derive(Clone, Debug)]
pub(super) struct Usage {
    /// Time between the samples, in seconds.
    pub(super) seconds: f64,
    /// CPU time of each process, in percent of a core.
    pub(super) cpu_percent: Vec<f64>,
    /// Bytes per second over the loopback interface.
    pub(super) bytes_per_second: f64,
}

impl Sample {
    /// Reads the counters of `pids`.
    pub(super) fn take(pids: &[u32]) -> Self {
        Self {
            at: Instant::now(),
            cpu_s: pids.iter().map(|pid| cpu_seconds(*pid)).collect(),
            bytes: loopback_bytes(),
        }
    }

    /// Usage between this sample and a later one of the same processes.
    pub(super) fn usage_until(&self, later: &Self) -> Usage {
        let seconds = later.at.duration_since(self.at).as_secs_f64();
        let pairs = self.cpu_s.iter().zip(&later.cpu_s);
        Usage {
            seconds,
            cpu_percent: pairs.map(|(a, b)| 100.0 * (b - a) / seconds).collect(),
            bytes_per_second: (later.bytes - self.bytes) as f64 / seconds,
        }
    }
}

/// Resident memory of a process in mebibytes, zero if it has ended.
pub(super) fn resident_mib(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib: Option<f64> = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    kib.unwrap_or(0.0) / KIB_PER_MIB
}

fn cpu_seconds(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = stat.rsplit_once(") ").map_or("", |(_, fields)| fields);
    let times = fields.split(' ').skip(USER_TIME_FIELD).take(2);
    let ticks: f64 = times.filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_SECOND
}

/// Bytes that the loopback interface has received.
fn loopback_bytes() -> u64 {
    let interfaces = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = interfaces
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let received = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    received.unwrap_or(0)
}
