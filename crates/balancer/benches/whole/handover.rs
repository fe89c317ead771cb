//! Standing connections with lines on all of them, handed to a new process under set-ups.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use super::measures::{Bench, FEW};
use super::peers::{Clients, Plan};
use super::subject::{SOCKETS, Start, Subject};

/// Set-ups on their way at once.
const AT_ONCE: usize = 4;
/// Lines that are out have so long to come back, once no more are sent.
const REST: Duration = Duration::from_millis(600);

impl Bench {
    /// Two processes, one after the other, and what clients see of it.
    pub fn hand_over(&self) -> io::Result<()> {
        let common = tempfile::tempdir()?;
        let start = Start { common: Some(common.path().to_owned()), ..self.start(FEW) };
        let standing = self.args.standing;
        if standing * 2 > SOCKETS - 1000 {
            return Err(io::Error::other(format!(
                "{standing} connections take more than {SOCKETS} descriptors"
            )));
        }
        let door = json!("127.0.0.1:0");
        let mut old = Subject::balancer(&start, self.port, |file| file["operator"] = door.clone())?;
        let to = old.address.clone();
        // Each connection has a line on its way once a second.
        let lines = Clients::begin(Plan::Paced(standing, standing as f64), to.clone(), 3);
        if !lines.stand() {
            return Err(io::Error::other("not all connections stand"));
        }
        let set_ups = Clients::begin(Plan::SetUps(AT_ONCE), to.clone(), 1);
        lines.go();
        set_ups.go();
        thread::sleep(Duration::from_secs(1));
        lines.count();
        set_ups.count();
        let cores = vec![self.args.core.saturating_sub(1)];
        let new = Subject::balancer(&Start { cores, ..start }, self.port, |file| {
            file["operator"] = door;
            file["listen"] = json!(to[0]);
        })?;
        let began = Instant::now();
        old.ends()?;
        let took = began.elapsed();
        thread::sleep(Duration::from_secs_f64(self.args.seconds));
        set_ups.stop();
        lines.stop();
        thread::sleep(REST);
        let memory = new.used().memory_kb;
        let (set_ups, lines) = (set_ups.end(), lines.end());
        println!(
            "hand-over, {standing} connections: {} ms in all; lines {} lost {} cut, moved or doubled {}, us p99 {} \
             longest {}; set-ups {} failed {}, us p99 {} longest {}; {memory} KiB in the new process",
            took.as_millis(),
            lines.done,
            lines.lost,
            lines.failed,
            lines.took.value_at_quantile(0.99),
            lines.took.max(),
            set_ups.done,
            set_ups.failed,
            set_ups.took.value_at_quantile(0.99),
            set_ups.took.max(),
        );
        Ok(())
    }
}
