//! Child processes that tests start and control.

use std::{
    fs::File,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU16, Ordering},
    },
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use serde::Deserialize;
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, Command},
};

/// Time limit for a stand-in to print its addresses.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Ports below the kernel's range of ephemeral ports for outgoing connections.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Held while a port is tried and while a child process is started. Between fork and exec, a child
/// has all descriptors of its parent, so it would keep the port of a listener in use.
static FORK_LOCK: Mutex<()> = Mutex::new(());

/// Returns a port of 127.0.0.1 that is free at the time of the call.
///
/// # Panics
///
/// Panics if no port is free.
#[must_use]
pub fn free_port() -> SocketAddr {
    // Each process starts at a random port, so that concurrent tests rarely try the same one.
    static NEXT: AtomicU16 = AtomicU16::new(0);
    if NEXT.load(Ordering::Relaxed) == 0 {
        NEXT.store(rand::random_range(PORTS), Ordering::Relaxed);
    }
    for _ in PORTS {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed) % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], PORTS.start + offset));
        let _lock = FORK_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port of 127.0.0.1 is free");
}

/// The addresses that a stand-in prints when it starts.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Addresses {
    /// The address for the system under test.
    pub listening: SocketAddr,
    /// The address for commands of the test; `None` if the stand-in has no control port.
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
    pub fn start_binary(name: &str, args: &[&str], log: &Path) -> Self {
        Self::spawn(&target_dir().join(name), args, log, open_log(log).into())
    }

    /// Starts a stand-in and waits for its addresses.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in is missing, cannot be started or prints no addresses in time.
    pub async fn start_stand_in(name: &str, args: &[&str], log: &Path) -> (Self, Addresses) {
        let program = target_dir().join("examples").join(name);
        let mut process = Self::spawn(&program, args, log, Stdio::piped());
        let stdout = process
            .child
            .stdout
            .take()
            .expect("standard output is piped");
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

    /// The process ID; `None` once the exit of the process has been awaited.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// The log that the process has written so far.
    #[must_use]
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Kills the process (SIGKILL) and waits for its exit.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be waited for.
    pub async fn kill(&mut self) {
        self.child
            .kill()
            .await
            .expect("child process can be killed and awaited");
    }

    /// Requests an orderly shutdown (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Makes the process reload its settings (SIGHUP).
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Suspends the process (SIGSTOP).
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process (SIGCONT).
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits for the exit of the process; `None` if it still runs after `limit`.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let waited = tokio::time::timeout(limit, self.child.wait()).await;
        waited.ok().and_then(Result::ok)
    }

    fn spawn(program: &Path, args: &[&str], log: &Path, stdout: Stdio) -> Self {
        let log_file = open_log(log);
        let _lock = FORK_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(log_file)
            .kill_on_drop(true)
            .spawn()
            .unwrap_or_else(|err| {
                let program = program.display();
                panic!("{program} cannot be started ({err}); build it first, as scripts/test does")
            });
        Self {
            child,
            log: log.to_owned(),
        }
    }

    fn signal(&self, signal: Signal) {
        let id = self.child.id().and_then(|it| i32::try_from(it).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            // Fails only if the process has exited, which the test detects by other means.
            let _ = kill_process(pid, signal);
        }
    }
}

/// Opens a log file for appending.
fn open_log(log: &Path) -> File {
    File::options()
        .append(true)
        .create(true)
        .open(log)
        .unwrap_or_else(|err| panic!("{} cannot be opened: {err}", log.display()))
}

/// Runs a binary of the workspace until it exits and returns its standard output.
///
/// # Panics
///
/// Panics if the binary is missing or does not exit with 0.
pub async fn run(name: &str, args: &[&str]) -> String {
    let program = target_dir().join(name);
    let mut command = Command::new(&program);
    command
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true);
    let child = {
        let _lock = FORK_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        command.spawn()
    };
    let child =
        child.unwrap_or_else(|err| panic!("{} cannot be started: {err}", program.display()));
    let output = child
        .wait_with_output()
        .await
        .unwrap_or_else(|err| panic!("{} cannot be awaited: {err}", program.display()));
    let (out, err) = (output.stdout, output.stderr);
    let (out, err) = (String::from_utf8_lossy(&out), String::from_utf8_lossy(&err));
    assert!(
        output.status.success(),
        "{name} {args:?}: {}\n{out}{err}",
        output.status
    );
    out.into_owned()
}

/// The directory with the binaries of the build that the current executable belongs to.
fn target_dir() -> PathBuf {
    let exe = std::env::current_exe().expect("path of the current executable is known");
    let dir = exe.parent().expect("executable has a parent directory");
    // Tests are in `deps` and stand-ins in `examples`; the parent directory holds the binaries.
    match dir.file_name().and_then(|it| it.to_str()) {
        Some("deps" | "examples") => dir.parent().unwrap_or(dir).to_owned(),
        _ => dir.to_owned(),
    }
}
