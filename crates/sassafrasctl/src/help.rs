//! Texts of `--help`.

use std::fmt::Write;

/// Usage of one command.
#[derive(Debug)]
pub(crate) struct Usage {
    /// The command's name.
    pub(crate) name: &'static str,
    /// Its positional arguments.
    pub(crate) arguments: &'static [&'static str],
    /// Its options, without those common to all commands.
    pub(crate) options: &'static [&'static str],
    /// One line for the list of commands.
    summary: &'static str,
    /// What the command does.
    details: &'static str,
}

/// All commands, in the order in which the help lists them.
pub(crate) const USAGES: [Usage; 9] = [
    Usage {
        name: "check",
        arguments: &["FILE"],
        options: &[],
        summary: "validate a document",
        details:
            "Reports the problems of the document in FILE, each with its path, line, value, rule
and remedy. The rules for values are checked only if all fields and types are
correct. Needs no platform. FILE may be - for standard input.",
    },
    Usage {
        name: "diff",
        arguments: &["FILE"],
        options: &[],
        summary: "compare a document with the one in force",
        details: "Prints what applying FILE would change: + added, - removed, ~ changed. Entries of
lists are matched by name. Exits with 0 whether or not there are differences.",
    },
    Usage {
        name: "apply",
        arguments: &["FILE"],
        options: &["expect", "settle", "wait"],
        summary: "make a document the one in force",
        details:
            "Commits the document in FILE as version VERSION + 1 if version VERSION is still the
one in force (0 if there is none), then waits until every host reports the new
version. If another operator has applied a version in the meantime, prints how FILE
differs from the document in force, changes nothing and exits with 2.

  --expect VERSION   the version in force that FILE is based on (required)
  --settle SECONDS   how long to retry the transaction and read it back if the
                     store's answer is lost; default 20
  --wait SECONDS     how long to wait for the hosts; 0 does not wait; default 10",
    },
    Usage {
        name: "show",
        arguments: &[],
        options: &["version-number"],
        summary: "print the document in force or an earlier version",
        details: "Prints the text as it was applied. The version and its change identifier go to
standard error, so that the output can be edited and applied again.

  --version-number N   the version to print; default is the one in force",
    },
    Usage {
        name: "history",
        arguments: &[],
        options: &["limit"],
        summary: "list the versions of the document",
        details: "Lists the newest versions first, each with its time by the clock of the operator
who applied it, its change identifier and its size.

  --limit N   how many versions to list; default 20",
    },
    Usage {
        name: "status",
        arguments: &[],
        options: &["host"],
        summary: "print the state of hosts, gateways and counters",
        details: "Prints one line for each host, the gateways, the fingerprints of quarantined
requests, and the refusals and retries summed over all hosts since each host's
start. Hosts that do not answer are listed with the reason; exits with 3 if none
answers.

  --host IP:PORT   operators' address of a host to query instead of the membership
                   list, for use while the platform is down; may be repeated",
    },
    Usage {
        name: "owner",
        arguments: &["SERVICE", "KEY"],
        options: &["host"],
        summary: "look up the owner of a key",
        details:
            "Asks a host for the target that owns KEY and its gateway. The answer is as recent as
the host's table. In a key from a path segment, escapes of printable ASCII
characters are decoded and others have upper-case hex digits.

  --host IP:PORT   operators' address of a host to query instead of the membership
                   list, for use while the platform is down; may be repeated",
    },
    Usage {
        name: "explain",
        arguments: &["ID", "FILE..."],
        options: &[],
        summary: "explain how a request ended, from logs",
        details:
            "Prints the lines of the request ID from the logs of all hosts in the order of time,
then other lines from 5 s before its first line to its last: those of the hosts on
its path, and those of any host about its targets. FILE may be - for standard input;
text that a log collector puts before a line is skipped. Needs no platform.",
    },
    Usage {
        name: "schema",
        arguments: &[],
        options: &[],
        summary: "print the JSON Schema of documents",
        details:
            "Prints the JSON Schema, with ranges, lengths and patterns. The other rules, such as
those across several fields, are checked only by check and apply. Needs no platform.",
    },
];

const GLOBAL: &str = "\
Options:
  --platform IP:PORT   address of the platform
  --output text|json   format of the output; default text
  --help               print this help, or that of a command
  --version            print the version of this program

Exit codes:
  0  done
  1  the document or the arguments are invalid
  2  conflict: another version is in force than expected
  3  the platform or the hosts cannot be reached
  4  applied, but not in force on every host in time
  5  the outcome is unknown: the change may have been applied or may still be
";

impl Usage {
    /// The usage of the command with this name.
    pub(crate) fn find(name: &str) -> Option<&'static Self> {
        USAGES.iter().find(|it| it.name == name)
    }

    /// Whether the command accepts this number of arguments. The last argument may be repeated if
    /// its name ends in `...`.
    pub(crate) fn accepts(&self, count: usize) -> bool {
        let max = match self.arguments.last() {
            Some(last) if last.ends_with("...") => usize::MAX,
            _ => self.arguments.len(),
        };
        (self.arguments.len()..=max).contains(&count)
    }

    /// The help of the command.
    pub(crate) fn text(&self) -> String {
        let arguments = self.arguments.join(" ");
        let usage = format!("sassafrasctl {} {arguments}", self.name);
        let (usage, details) = (usage.trim_end(), self.details);
        format!("Usage: {usage} [OPTIONS]\n\n{details}\n\n{GLOBAL}")
    }
}

/// The help of the program.
pub(crate) fn overview() -> String {
    let mut text = String::from(
        "Operates a deployment through its document.\n\nUsage: sassafrasctl COMMAND [OPTIONS]\n\n\
         Commands:\n",
    );
    for usage in &USAGES {
        let arguments = usage.arguments.join(" ");
        let synopsis = format!("{} {arguments}", usage.name);
        writeln!(text, "  {synopsis:<20} {}", usage.summary).expect("writing to a string succeeds");
    }
    text.push_str("\nsassafrasctl COMMAND --help describes a command.\n\n");
    text.push_str(GLOBAL);
    text
}
