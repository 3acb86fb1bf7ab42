//! Child processes of a test.

use std::{
    fs::File,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use serde::Deserialize;
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, Command},
};

/// Longest wait for a stand-in to print its addresses.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Ports below the range from which the kernel picks ports of outgoing connections.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// A port of 127.0.0.1 that is free now.
///
/// # Panics
///
/// Panics if no port is free.
#[must_use]
pub fn free_port() -> SocketAddr {
    // Processes start at different ports, so that tests that run at once rarely try the same one.
    static NEXT: AtomicU16 = AtomicU16::new(0);
    if NEXT.load(Ordering::Relaxed) == 0 {
        NEXT.store(rand::random_range(PORTS), Ordering::Relaxed);
    }
    for _ in PORTS {
        let step = NEXT.fetch_add(1, Ordering::Relaxed) % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], PORTS.start + step));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port of 127.0.0.1 is free");
}

/// The addresses that a stand-in prints at its start.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Addresses {
    /// The address for the system under test.
    pub listening: SocketAddr,
    /// The address for commands of the test.
    pub control: Option<SocketAddr>,
}

/// A child process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a binary of the workspace; its output goes to the file `log`.
    ///
    /// # Panics
    ///
    /// Panics if the binary is missing or cannot be started.
    #[must_use]
    pub fn binary(name: &str, args: &[&str], log: &Path) -> Self {
        Self::spawn(&target_dir().join(name), args, log, open(log).into())
    }

    /// Starts a stand-in and waits for its addresses.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in is missing, cannot be started or prints no addresses in time.
    pub async fn stand_in(name: &str, args: &[&str], log: &Path) -> (Self, Addresses) {
        let program = target_dir().join("examples").join(name);
        let mut process = Self::spawn(&program, args, log, Stdio::piped());
        let stdout = process.child.stdout.take().expect("the output is piped");
        let mut lines = BufReader::new(stdout).lines();
        let line = tokio::time::timeout(START_TIMEOUT, lines.next_line()).await;
        let line = line.ok().and_then(Result::ok).flatten();
        let addresses = line.and_then(|it| serde_json::from_str(&it).ok());
        let Some(addresses) = addresses else {
            panic!(
                "{name} {args:?} printed no addresses; its log: {}",
                process.log()
            );
        };
        (process, addresses)
    }

    /// The process's identifier; `None` once it has been waited for.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// What the process has written so far.
    #[must_use]
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Kills the process and waits for its end.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be waited for.
    pub async fn kill(&mut self) {
        self.child
            .kill()
            .await
            .expect("a child can be killed and waited for");
    }

    /// Asks the process to stop (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Tells the process that its settings changed (SIGHUP).
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Stops the process without ending it (SIGSTOP).
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets the process go on (SIGCONT).
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits for the end of the process; `None` if it still runs after `limit`.
    pub async fn exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let waited = tokio::time::timeout(limit, self.child.wait()).await;
        waited.ok().and_then(Result::ok)
    }

    fn spawn(program: &Path, args: &[&str], log: &Path, stdout: Stdio) -> Self {
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(open(log))
            .kill_on_drop(true)
            .spawn()
            .unwrap_or_else(|err| {
                let program = program.display();
                panic!("{program} cannot be started ({err}); scripts/test builds it first")
            });
        Self {
            child,
            log: log.to_owned(),
        }
    }

    fn signal(&self, signal: Signal) {
        let id = self.child.id().and_then(|it| i32::try_from(it).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            // It fails only if the process has ended, which the test sees in another way.
            let _ = kill_process(pid, signal);
        }
    }
}

/// Opens a log for appending.
fn open(log: &Path) -> File {
    File::options()
        .append(true)
        .create(true)
        .open(log)
        .unwrap_or_else(|err| panic!("{} cannot be created: {err}", log.display()))
}

/// Runs a binary of the workspace to its end and returns its standard output.
///
/// # Panics
///
/// Panics if the binary is missing or does not exit with 0.
pub async fn run(name: &str, args: &[&str]) -> String {
    let program = target_dir().join(name);
    let output = Command::new(&program)
        .args(args)
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .output()
        .await
        .unwrap_or_else(|err| panic!("{} cannot be started: {err}", program.display()));
    let (out, err) = (output.stdout, output.stderr);
    let (out, err) = (String::from_utf8_lossy(&out), String::from_utf8_lossy(&err));
    assert!(
        output.status.success(),
        "{name} {args:?}: {}\n{out}{err}",
        output.status
    );
    out.into_owned()
}

/// The directory with the binaries of the build that the present test belongs to.
fn target_dir() -> PathBuf {
    let own = std::env::current_exe().expect("a process knows its executable");
    let dir = own.parent().expect("an executable is in a directory");
    // Tests are in `deps` and stand-ins in `examples`, both next to the binaries.
    match dir.file_name().and_then(|it| it.to_str()) {
        Some("deps" | "examples") => dir.parent().unwrap_or(dir).to_owned(),
        _ => dir.to_owned(),
    }
}
