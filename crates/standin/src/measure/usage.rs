//! What the system says of processes and of the loopback interface.

use std::fs;
use std::time::Instant;

/// Ticks a second in which the system counts processor time.
const TICKS_A_SECOND: f64 = 100.0;

/// Position of the user time among the fields of `/proc/PID/stat` behind the name.
const USER_TIME_FIELD: usize = 11;

/// Kibibytes in a mebibyte.
const KIB_A_MIB: f64 = 1_024.0;

/// Counters of processes and of the interface at an instant.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    at: Instant,
    cpu_s: Vec<f64>,
    bytes: u64,
}

/// Use between two samples.
#[derive(Clone, Debug)]
pub(super) struct Use {
    /// Time between the samples, in seconds.
    pub(super) seconds: f64,
    /// Processor time of each process, in percent of a core.
    pub(super) cpu_percent: Vec<f64>,
    /// Bytes of the interface a second.
    pub(super) bytes: f64,
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

    /// Use from this sample to a later one of the same processes.
    pub(super) fn until(&self, later: &Self) -> Use {
        let seconds = later.at.duration_since(self.at).as_secs_f64();
        let pairs = self.cpu_s.iter().zip(&later.cpu_s);
        Use {
            seconds,
            cpu_percent: pairs.map(|(a, b)| 100.0 * (b - a) / seconds).collect(),
            bytes: (later.bytes - self.bytes) as f64 / seconds,
        }
    }
}

/// Resident memory of a process in mebibytes, zero if it has ended.
pub(super) fn resident_mib(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib: Option<f64> = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    kib.unwrap_or(0.0) / KIB_A_MIB
}

fn cpu_seconds(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = stat.rsplit_once(") ").map_or("", |(_, fields)| fields);
    let times = fields.split(' ').skip(USER_TIME_FIELD).take(2);
    let ticks: f64 = times.filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
    ticks / TICKS_A_SECOND
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
