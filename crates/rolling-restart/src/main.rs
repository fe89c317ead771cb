//! `shorewharf-rolling-restart`: restarts balancers one after the other, by a command of the operator's.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, ExitCode, Stdio};
use std::str::FromStr;
use std::time::Duration;

use clap::Parser;
use comfy_table::Table;
use shorewharf_rolling_restart::{Fleet, Health, Terms, roll};

/// An answer is due within a second; a machine that is busy starting a program may take longer.
const ANSWER: Duration = Duration::from_secs(3);
/// Between two looks.
const LOOK: Duration = Duration::from_millis(200);

/// Restarts balancers one after the other; each is to be back and knowing before the next goes
#[derive(Parser)]
#[command(
    name = "shorewharf-rolling-restart",
    version,
    after_help = "\
Exit codes:
  0  all are restarted, back and knowing
  1  it stopped at the first sign of trouble; the table says where, why, and what is left
  2  the command line can't be used; nothing was done"
)]
struct Cli {
    /// The command that restarts one and returns once that is done; {} stands for its name
    #[arg(long, value_name = "COMMAND")]
    restart: String,
    /// Seconds within which one is to be back and knowing
    #[arg(long, default_value_t = 30.0, value_parser = seconds)]
    within: f64,
    /// Seconds for which it is to stay so
    #[arg(long, default_value_t = 2.0, value_parser = seconds)]
    settle: f64,
    /// The balancers in their order, each with the address at which operators call it
    #[arg(required = true, value_name = "NAME=ADDRESS:PORT")]
    balancers: Vec<Balancer>,
}

fn seconds(text: &str) -> Result<f64, String> {
    let seconds: f64 = text.parse().map_err(|_| "not a number".to_owned())?;
    if (0.0..=86_400.0).contains(&seconds) { Ok(seconds) } else { Err("not from 0 to 86400".to_owned()) }
}

#[derive(Clone, Debug)]
struct Balancer {
    name: String,
    at: SocketAddr,
}

impl FromStr for Balancer {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        let (name, at) = text.split_once('=').ok_or("it needs NAME=ADDRESS:PORT")?;
        // It becomes a part of a command.
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.@".contains(c);
        if name.is_empty() || !name.chars().all(plain) {
            return Err("a name is of letters, digits and -_.@".to_owned());
        }
        let at = at.parse().map_err(|_| format!("'{at}' is no ADDRESS:PORT"))?;
        Ok(Balancer { name: name.to_owned(), at })
    }
}

/// What an operator's call is answered.
fn call(at: SocketAddr, words: &str) -> Result<String, String> {
    let told = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&at, ANSWER)?;
        stream.set_read_timeout(Some(ANSWER))?;
        stream.write_all(format!("{words}\r\n").as_bytes())?;
        let mut answer = String::new();
        stream.take(1 << 20).read_to_string(&mut answer)?;
        Ok(answer)
    };
    told().map_err(|e| format!("{words} at {at}: {e}"))
}

struct Named(Cli);

impl Fleet for Named {
    fn restart(&mut self, balancer: usize) -> Result<(), String> {
        let name = &self.0.balancers[balancer].name;
        println!("{name}: restarting");
        let command = self.0.restart.replace("{}", name);
        let status = Command::new("sh").args(["-c", &command]).stdin(Stdio::null()).status();
        match status {
            Ok(status) if status.success() => Ok(()),
            Ok(status) => Err(format!("'{command}': {status}")),
            Err(e) => Err(format!("'{command}': {e}")),
        }
    }

    fn ask(&mut self, balancer: usize) -> Result<Health, String> {
        let at = self.0.balancers[balancer].at;
        let ready = call(at, "readyz")?.starts_with("YES");
        let figures = call(at, "telemetry")?;
        let figure = |name: &str| -> Option<u64> {
            let key = format!("svc.{name}:");
            figures.lines().find_map(|l| l.strip_prefix(&key)?.split('|').next()?.parse().ok())
        };
        let (targets, avoided) = figure("targets").zip(figure("targets_disabled")).ok_or_else(|| {
            format!("telemetry at {at}: no svc.targets and svc.targets_disabled in the answer")
        })?;
        Ok(Health { ready, targets, avoided })
    }

    fn pause(&mut self) -> Duration {
        std::thread::sleep(LOOK);
        LOOK
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let terms =
        Terms { within: Duration::from_secs_f64(cli.within), settle: Duration::from_secs_f64(cli.settle) };
    let names: Vec<_> = cli.balancers.iter().map(|b| b.name.clone()).collect();
    let report = roll(&mut Named(cli), names.len(), terms);
    let mut table = Table::new();
    table.set_header(["balancer", "state"]);
    for b in &report.done {
        table.add_row([&*names[*b], "restarted, back and knowing"]);
    }
    if let Some((b, why)) = &report.stopped {
        table.add_row([&*names[*b], &format!("stopped here: {why}")]);
    }
    let stopped = report.stopped.as_ref().map(|s| s.0);
    for b in report.left.iter().filter(|b| Some(**b) != stopped) {
        table.add_row([&*names[*b], "left as it was"]);
    }
    println!("{table}");
    ExitCode::from(u8::from(report.stopped.is_some()))
}
