//! Hand-over of established connections, each with lines on it, to a new process while new ones are set up.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use super::clients::{Clients, Plan};
use super::measurements::{Bench, FEW_SERVERS};
use super::target::{SOCKETS, Start, Target};

/// Concurrent set-ups.
const CONCURRENT_SET_UPS: usize = 4;
/// Time for outstanding lines to return after the last one was sent.
const LINE_TIMEOUT: Duration = Duration::from_millis(600);

impl Bench {
    /// Replaces a process by another, and measures lines and set-ups meanwhile.
    pub fn handover(&self) -> io::Result<()> {
        let common = tempfile::tempdir()?;
        let start = Start { common: Some(common.path().to_owned()), ..self.start(FEW_SERVERS) };
        let standing = self.args.standing;
        if standing * 2 > SOCKETS - 1000 {
            return Err(io::Error::other(format!(
                "{standing} connections take more than {SOCKETS} descriptors"
            )));
        }
        let operator = json!("127.0.0.1:0");
        let mut old = Target::balancer(&start, self.port, |file| file["operator"] = operator.clone())?;
        let addresses = old.addresses.clone();
        // One line per second on each connection.
        let lines = Clients::begin(Plan::Paced(standing, standing as f64), addresses.clone(), 3);
        if !lines.wait_until_established() {
            return Err(io::Error::other("not all connections were established within 60 s"));
        }
        let set_ups = Clients::begin(Plan::SetUps(CONCURRENT_SET_UPS), addresses.clone(), 1);
        lines.start();
        set_ups.start();
        thread::sleep(Duration::from_secs(1));
        lines.start_counting();
        set_ups.start_counting();
        let cores = vec![self.args.core.saturating_sub(1)];
        let new = Target::balancer(&Start { cores, ..start }, self.port, |file| {
            file["operator"] = operator;
            file["listen"] = json!(addresses[0]);
        })?;
        let began = Instant::now();
        old.terminate()?;
        let handover_time = began.elapsed();
        thread::sleep(Duration::from_secs_f64(self.args.seconds));
        set_ups.stop_counting();
        lines.stop_counting();
        thread::sleep(LINE_TIMEOUT);
        let memory = new.usage().memory_kb;
        let (set_ups, lines) = (set_ups.finish(), lines.finish());
        println!(
            "hand-over, {standing} connections: {} ms in total; lines {} lost {} closed, migrated or duplicated {}, us p99 {} \
             max {}; set-ups {} failed {}, us p99 {} max {}; {memory} KiB in the new process",
            handover_time.as_millis(),
            lines.done,
            lines.lost,
            lines.failed,
            lines.latency.value_at_quantile(0.99),
            lines.latency.max(),
            set_ups.done,
            set_ups.failed,
            set_ups.latency.value_at_quantile(0.99),
            set_ups.latency.max(),
        );
        Ok(())
    }
}
