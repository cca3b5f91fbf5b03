//! What a process holds at most: memory, bytes that it has not read yet, descriptors.

use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

/// Interval of the samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// State of an established connection in `/proc/net/tcp`, and of one that the peer has closed.
const ESTABLISHED: &str = "01";
const CLOSE_WAIT: &str = "08";

/// Largest values of a process so far.
#[derive(Debug)]
pub struct Peaks {
    id: u32,
    /// Address of the process as in `/proc/net/tcp`.
    address: String,
    resident: Cell<u64>,
    unread: Cell<u64>,
    descriptors: Cell<usize>,
}

impl Peaks {
    /// A process that no other shares `address` with.
    ///
    /// # Panics
    ///
    /// When the address is not an IPv4 address.
    pub fn new(id: u32, address: IpAddr) -> Self {
        let IpAddr::V4(address) = address else {
            panic!("{address} is not an IPv4 address");
        };
        Self {
            id,
            address: format!("{:08X}", u32::from_ne_bytes(address.octets())),
            resident: Cell::default(),
            unread: Cell::default(),
            descriptors: Cell::default(),
        }
    }

    /// Samples until the test ends.
    pub async fn watch(self: Rc<Self>) {
        loop {
            self.sample();
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Takes a sample; the process may have ended.
    pub fn sample(&self) {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id));
        // The kernel keeps the largest value by itself.
        let resident = status.ok().and_then(|status| {
            let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
            line.split_whitespace().nth(1)?.parse::<u64>().ok()
        });
        raise(&self.resident, resident.unwrap_or(0) << 10);
        let open = std::fs::read_dir(format!("/proc/{}/fd", self.id));
        raise(&self.descriptors, open.map_or(0, Iterator::count));
        raise(&self.unread, self.unread_now());
    }

    /// Bytes that the process has received and not read, also on connections that it has not
    /// accepted.
    fn unread_now(&self) -> u64 {
        let connections = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let unread = connections.lines().skip(1).filter_map(|line| {
            let mut fields = line.split_whitespace().skip(1);
            let (local, _, state, queues) = (
                fields.next()?,
                fields.next()?,
                fields.next()?,
                fields.next()?,
            );
            let is_own = local.starts_with(&self.address);
            if !is_own || ![ESTABLISHED, CLOSE_WAIT].contains(&state) {
                return None;
            }
            u64::from_str_radix(queues.split_once(':')?.1, 16).ok()
        });
        unread.sum()
    }

    /// Largest resident memory and largest number of unread bytes together.
    pub fn memory(&self) -> u64 {
        self.resident.get() + self.unread.get()
    }

    /// Largest number of open descriptors.
    pub fn descriptors(&self) -> usize {
        self.descriptors.get()
    }
}

fn raise<T: Copy + Ord>(peak: &Cell<T>, value: T) {
    peak.set(peak.get().max(value));
}
