//! Resource usage of child processes, read from /proc.

use std::{collections::HashMap, fs};

use testkit::process::Process;

/// Clock ticks per second of the times in /proc; fixed in the kernel's interface.
const TICKS_PER_S: f64 = 100.0;

/// Processor time of a process so far, in milliseconds.
pub fn cpu_ms(process: &Process) -> f64 {
    let text = read(process, "stat");
    // The second field, the name in parentheses, may contain blanks; it ends at the last closing
    // parenthesis.
    let after_name = text.rsplit_once(')').map_or("", |it| it.1);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |idx: usize| {
        fields[idx]
            .parse::<f64>()
            .expect("processor time is a number")
    };
    (ticks(11) + ticks(12)) * 1_000.0 / TICKS_PER_S
}

/// Resident memory of a process in KB.
pub fn rss_kb(process: &Process) -> u64 {
    let text = read(process, "status");
    let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let value = line.and_then(|it| it.split_whitespace().next());
    value
        .and_then(|it| it.parse().ok())
        .expect("running process has resident memory")
}

/// Maps the local TCP ports of the processes to the index of their process.
pub fn ports(processes: &[&Process]) -> HashMap<u16, usize> {
    let mut inodes = HashMap::new();
    for (idx, process) in processes.iter().enumerate() {
        let dir = format!("/proc/{}/fd", id(process));
        for entry in fs::read_dir(dir).into_iter().flatten().flatten() {
            let link = fs::read_link(entry.path()).unwrap_or_default();
            let name = link.to_string_lossy().into_owned();
            let inode = name
                .strip_prefix("socket:[")
                .and_then(|it| it.strip_suffix(']'));
            if let Some(inode) = inode {
                inodes.insert(inode.to_owned(), idx);
            }
        }
    }
    let mut ports = HashMap::new();
    for line in fs::read_to_string("/proc/net/tcp")
        .unwrap_or_default()
        .lines()
    {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let port = fields.get(1).and_then(|it| it.split_once(':'));
        let port = port.and_then(|it| u16::from_str_radix(it.1, 16).ok());
        if let (Some(port), Some(idx)) = (port, fields.get(9).and_then(|it| inodes.get(*it))) {
            ports.insert(port, *idx);
        }
    }
    ports
}

fn read(process: &Process, file: &str) -> String {
    fs::read_to_string(format!("/proc/{}/{file}", id(process))).expect("process is running")
}

fn id(process: &Process) -> u32 {
    process.id().expect("process is running")
}
