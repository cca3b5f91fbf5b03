//! Processes of entry hosts, started with the command of the deploy file.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;
use crate::worker::MAX_HOLD_MS;

pub const MEMORY_MB: u64 = 260;

/// Ends a process with the thread that started it, should this one be killed.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

const FRONTEND: u16 = 8_161;
const READINESS: u16 = 8_167;
const INTERNAL: u16 = 7_720;

/// Roots of the addresses that are tried.
const NETS: std::ops::Range<u8> = 60..250;

pub struct Host {
    pub name: String,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
    program: String,
    child: Option<Child>,
    /// Times that it was killed for its memory.
    pub kills: u32,
    /// When its process ended, until the next start.
    pub ended_at: Option<Instant>,
}

/// Second part of loopback addresses at which all ports are free for `count` hosts.
pub fn free_net(count: u8) -> Option<u8> {
    let first = (std::process::id() % 190) as u8;
    let nets = NETS.map(|net| NETS.start + (net - NETS.start + first) % 190);
    let is_free = |net: &u8| {
        (1..=count).all(|at| {
            [FRONTEND, READINESS, INTERNAL, INTERNAL + 1]
                .iter()
                .all(|port| TcpListener::bind((address(*net, at), *port)).is_ok())
        })
    };
    nets.into_iter().find(is_free)
}

fn address(net: u8, at: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net, 0, at))
}

/// Command of the deploy file's role.
pub fn command(root: &Path) -> Option<String> {
    let deploy = std::fs::read_to_string(root.join("deploy/system.toml")).ok()?;
    let run = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = "))?;
    Some(run.trim().trim_matches('"').to_owned())
}

impl Host {
    /// Writes the settings of a host; does not start it.
    pub fn new(
        root: &Path,
        folder: &Path,
        program: &str,
        net: u8,
        at: u8,
        zone: &'static str,
        store: SocketAddr,
    ) -> std::io::Result<Self> {
        let ip = address(net, at);
        let name = format!("frontend-{zone}-{at}");
        let settings = folder.join(format!("{name}.yaml"));
        let text = format!(
            r#"nodeName: "{name}"
role: "entry"
machineClass: "frontend"
serves: ["frontend"]
ipAddress: "{ip}"
zone: "{zone}"
region: "r"
zones: {{a: "r", b: "r", c: "r", d: "r"}}
listenAddresses:
  frontend: "{ip}:{FRONTEND}"
  readiness: "{ip}:{READINESS}"
internalPortRange: [{INTERNAL}, {}]
seedNodes: []
bootstrap: true
countsInTolerance: false
limits: {{cpuShare: 0.1, cpuCores: 1, memoryMb: {MEMORY_MB}, fileDescriptors: 4100, linkBandwidthMbps: 1000.0, diskMb: 0}}
dataDirectory: null
discovery: "platform"
entry: "virtual_ip"
heartbeatIntervalMs: 1500
bounds: {{contactTimeoutMs: 3000, acknowledgeTimeoutMs: 4000, gracePeriodS: 6, maxHoldMs: {MAX_HOLD_MS}, stopTimeoutMs: 900, cancel_ms: 3000, visible_ms: 3000, finish_s: 14, status_s: 120}}
commandMode: "call"
platform: {{address: "{store}", form: "kv", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, minTtlMs: 1000}}
"#,
            INTERNAL + 15
        );
        std::fs::write(&settings, text)?;
        Ok(Self {
            frontend: SocketAddr::new(ip, FRONTEND),
            readiness: SocketAddr::new(ip, READINESS),
            settings,
            log: folder.join(format!("{name}.log")),
            root: root.to_owned(),
            program: program.to_owned(),
            name,
            child: None,
            kills: 0,
            ended_at: None,
        })
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut words = self.program.split(' ');
        let program = self.root.join(words.next().unwrap_or_default());
        let mut command = Command::new(program);
        command
            .args(words)
            .current_dir(&self.root)
            .env("VERBENAHITCH_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: `prctl` may be called between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Resident memory in MB.
    pub fn resident_mb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1_024
    }

    /// Processor time of its process so far, in seconds.
    pub fn processor_s(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", child.id()));
        let stat = stat.unwrap_or_default();
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let ticks = fields.split_whitespace().skip(11).take(2);
        // A hundred ticks are a second.
        ticks
            .filter_map(|ticks| ticks.parse::<u64>().ok())
            .sum::<u64>()
            / 100
    }

    /// Whether the platform's check finds it ready.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let answer = http::call(self.readiness, "GET", "check", "/readiness", "", limit);
        matches!(answer, Ok((200, _)))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
