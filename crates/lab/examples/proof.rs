//! Scratch: plays drawn days and prints results as JSON lines.
use shorewharf_emulator::virtual_time::{Options, run};
use shorewharf_lab::instances::{Hosts, Who};
fn main() {
    let args: Vec<String> = std::env::args().collect();
    let who: Who = args[1].parse().expect("who");
    let threads: usize = args[2].parse().expect("threads");
    let seeds: u64 = args[3].parse().expect("seeds");
    for f in &args[4..] {
        let mut day = shorewharf_lab::import::read(std::path::Path::new(f)).expect("day");
        let seed = day.seed;
        for s in 0..seeds {
            day.seed = seed.wrapping_add(s.wrapping_mul(0x1234_5678_9abc));
            let t = std::time::Instant::now();
            let r = run(&day, &Hosts::new(who), &Options { threads, progress: None }).expect("run");
            let wall = t.elapsed().as_secs_f64();
            let mut v = serde_json::to_value(&r).expect("json");
            let o = v.as_object_mut().expect("object");
            o.insert("day".into(), serde_json::json!(f));
            o.insert("wall".into(), serde_json::json!(wall));
            o.insert(
                "set_up_p50_ms".into(),
                serde_json::json!(r.series.set_up.value_at_quantile(0.5) as f64 / 1e3),
            );
            o.insert(
                "set_up_p99_ms".into(),
                serde_json::json!(r.series.set_up.value_at_quantile(0.99) as f64 / 1e3),
            );
            println!("{v}");
        }
    }
}
