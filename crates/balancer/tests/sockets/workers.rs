//! Several workers: outside, they are one program.

use serde_json::json;
use shorewharf_emulator::standin::*;

use crate::BINARY;

#[test]
fn workers_share_clients_ids_news_orders_and_the_end() {
    let (servers, old, new) = ([Node::new(), Node::new()], Director::new(), Director::new());
    let mut settings = asking(&[("s-1", servers[0].address())], &old);
    // Clients are moved before the program would be killed, soon after its end is ordered.
    settings["settings"]["classes"][0]["give_up_s"] = json!(1.0);
    let mut program = Program::start_with(BINARY, &settings, "workers = 3");
    let _watch = old.watch();
    let mut stands: Vec<_> = (1..=30).map(|id| program.stand_as(&servers[0], &format!("{id:x}"))).collect();
    for (client, s) in &mut stands {
        client.say("M 1");
        assert_eq!(s.line(), "M 1");
        s.say("M 1");
        assert_eq!(client.line(), "M 1");
    }
    // Whichever worker a thief comes to, the id is in use.
    for _ in 0..12 {
        assert_eq!(program.open_as("1e", "").line(), "ERR");
    }
    settings["discovery"] = json!(new.address());
    program.reconfigure(&settings.to_string());
    let mut watch = new.watch();
    let one = endpoint("s-1", servers[0].address(), "Terminating");
    watch.tell(42, false, vec![one, endpoint("s-2", servers[1].address(), "Ready")]);
    for (client, _) in &mut stands {
        assert_eq!(client.line(), "MOVE", "a worker has not heard of the list");
    }
    assert!(!new.is_called() && !old.is_called(), "more than one worker watches");
    let mut stands: Vec<_> = (0..30).map(|id| program.stand_as(&servers[1], &format!("{id:x}"))).collect();
    program.terminate();
    let mut sum = 0;
    for _ in 0..3 {
        let line = program.logged("event=shutting-down");
        let sessions = line.split("sessions=").nth(1).and_then(|t| t.split(' ').next());
        sum += sessions.and_then(|t| t.parse::<usize>().ok()).expect("a figure");
    }
    assert_eq!(sum, stands.len());
    for (client, _) in &mut stands {
        assert_eq!(client.line(), "MOVE", "a worker has not heard of the end");
    }
    drop(stands);
    program.logged("event=stopped sessions=0");
    assert!(program.wait().success());
}
