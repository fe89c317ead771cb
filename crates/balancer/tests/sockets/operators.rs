//! Operators' calls.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use shorewharf_emulator::standin::*;

use crate::{BINARY, start};

/// A call is to be answered within this, whatever the load.
const DUE: Duration = Duration::from_secs(1);

/// A configuration with a door for operators.
pub fn with_door(mut config: Value) -> Value {
    config["operator"] = json!(SocketAddr::from((loopback(0), 0)));
    config
}

/// Waits until a figure has come to this.
#[track_caller]
pub fn comes_to(program: &Program, name: &str, value: u64) {
    let began = Instant::now();
    loop {
        match program.figure(name) {
            v if v == value => return,
            v if began.elapsed() > LIMIT => panic!("{name} is {v}, not {value}"),
            _ => std::thread::yield_now(),
        }
    }
}

#[test]
fn every_call_has_its_answer_and_every_bad_one_a_reason() {
    let program = start(&with_door(config(&[])));
    assert_eq!(program.call("readyz"), ["YES"]);
    assert_eq!(program.operator("readyz\n").rest(), ["YES\n"]);
    for (line, why) in [
        ("", "NO no call"),
        ("PING", "NO 'PING' is no call"),
        ("readyz please", "NO readyz takes nothing"),
        ("telemetry x", "NO telemetry takes nothing"),
        ("exclude", "NO exclude needs the id"),
        ("include", "NO include needs the id"),
        ("exclude s-1 s-2", "NO exclude takes one server"),
        ("exclude s-9", "NO no server 's-9'"),
        ("include s-9", "NO no server 's-9'"),
        ("read\u{1}yz", "NO the call is no text"),
        (&"x".repeat(4097), "NO the call is longer than 4096 bytes"),
    ] {
        let said = program.call(line);
        assert!(said.len() == 1 && said[0].starts_with(why), "{line:.40}: {said:?}");
    }
    let mut halves = program.operator("rea");
    program.settled();
    halves.put(b"dyz\r\n");
    assert_eq!(halves.rest(), ["YES"]);
    // Clients are not operators, nor operators clients.
    assert!(program.call("OPEN 1 2 c=chat")[0].starts_with("NO "));
    let mut client = program.client();
    client.say("readyz");
    assert_eq!(client.line(), "ERR");
}

#[test]
fn a_process_that_leaves_takes_no_clients_and_says_so() {
    let server = Node::new();
    let program = start(&with_door(config(&[("s-1", server.address())])));
    let _stands = program.stand(&server);
    program.terminate();
    program.logged("event=shutting-down");
    assert!(program.call("readyz")[0].starts_with("NO "));
}

#[test]
fn an_address_that_operators_cannot_call_ends_the_start() {
    let taken = Node::new();
    let mut settings = config(&[]);
    for (at, why) in [(json!(taken.address()), "cannot listen at"), (json!("nowhere"), "ADDRESS:PORT")] {
        settings["operator"] = at;
        let (code, log) = refused_start(BINARY, &settings);
        assert_eq!(code, Some(2), "{log}");
        assert!(
            log.contains("event=bad-config") && log.contains("key=operator") && log.contains(why),
            "{log}"
        );
    }
}

#[test]
fn each_connection_is_counted_once_under_its_class() {
    let server = Node::new();
    let mut settings = with_door(config(&[("s-1", server.address())]));
    settings["settings"]["classes"] = json!([
        {"name": "chat", "semantics": "read_like", "promise_s": 1.0, "give_up_s": 20.0},
        {"name": "feed", "semantics": "non_idempotent", "promise_s": 1.0, "give_up_s": 20.0}]);
    settings["settings"]["specifics"]["message_aim_s"] = json!([0.05, 0.05]);
    let program = start(&settings);
    for class in ["chat", "feed"] {
        for reply in ["success", "overload", "error"] {
            assert_eq!(program.figure(&format!("replies.{class}.{reply}")), 0);
        }
    }
    assert_eq!((program.figure("targets"), program.figure("targets_disabled")), (1, 0));
    let (client, s) = program.stand(&server);
    comes_to(&program, "replies.chat.success", 1);
    assert_eq!((program.figure("dispatches"), program.figure("concurrent")), (1, 1));
    // Bad lines count where they name a class; a front and who says nothing do not.
    let mut bad = program.client();
    bad.say("OPEN 1 2 c=feed,d=nonsense");
    assert_eq!(bad.line(), "ERR");
    let mut bad = program.client();
    bad.say("OPEN 1 2 c=none");
    assert_eq!(bad.line(), "ERR");
    drop(program.client());
    // An attempt that may have run and must not be repeated.
    let mut unlucky = program.client();
    unlucky.say("OPEN 77 2 c=feed,d=20000");
    let mut at = server.accept();
    at.line();
    at.say("ERR");
    assert_eq!(unlucky.line(), "ERR");
    comes_to(&program, "replies.feed.error", 2);
    assert_eq!((program.figure("dispatches"), program.figure("replies.chat.error")), (2, 0));
    // A client that leaves before its answer.
    let gone = program.open("");
    let mut at = server.accept();
    at.line();
    drop(gone);
    comes_to(&program, "replies.chat.error", 1);
    drop((client, s));
    comes_to(&program, "concurrent", 0);
    assert_eq!((program.figure("replies.chat.success"), program.figure("dispatches")), (1, 3));
}

#[test]
fn operators_are_answered_in_time_while_clients_and_mute_callers_hold_all_descriptors() {
    let mut settings = with_door(config(&[]));
    settings["limits"]["sockets"] = json!(96);
    let program = start(&settings);
    let _crowd: Vec<_> = (0..400).map(|_| program.client()).collect();
    let _halves: Vec<_> = (0..40).map(|_| program.operator("teleme")).collect();
    let _mutes: Vec<_> = (0..40).map(|_| program.operator("")).collect();
    for _ in 0..20 {
        let began = Instant::now();
        assert_eq!(program.call("readyz"), ["YES"]);
        assert_eq!(program.call("telemetry").last().map(String::as_str), Some("END"));
        assert!(began.elapsed() < 2 * DUE, "{:?}", began.elapsed());
    }
}

#[test]
fn a_server_taken_out_gets_nothing_until_a_call_puts_it_back() {
    let (servers, director) = ([Node::new(), Node::new()], Director::new());
    let both = [("s-1", servers[0].address()), ("s-2", servers[1].address())];
    let mut settings = with_door(asking(&both[..1], &director));
    let program = start(&settings);
    let mut watch = director.watch();
    let (mut client, _s) = program.stand(&servers[0]);
    let [one, two] = [0, 1].map(|i| endpoint(both[i].0, both[i].1, "Ready"));
    watch.tell(42, false, vec![two.clone()]);
    comes_to(&program, "targets", 2);
    assert_eq!(program.call("exclude s-1"), ["YES"]);
    assert_eq!(program.figure("targets_disabled"), 1);
    assert_eq!(client.line(), "MOVE");
    assert_eq!(program.call("exclude s-1"), ["YES"], "a second call changes nothing");
    // Changes, whole lists, its going and coming, and another configuration.
    watch.tell(43, false, vec![endpoint("s-1", both[0].1, "Gone")]);
    comes_to(&program, "targets", 1);
    watch.tell(44, false, vec![one.clone()]);
    comes_to(&program, "targets", 2);
    watch.tell(45, true, vec![one, two]);
    settings["limits"]["sockets"] = json!(1000);
    program.reconfigure(&settings.to_string());
    program.logged("event=reloaded");
    assert_eq!(program.figure("targets_disabled"), 1);
    let _stands: Vec<_> = (0..8).map(|_| program.stand(&servers[1])).collect();
    assert!(!servers[0].is_called());
    assert_eq!(program.call("include s-1"), ["YES"]);
    assert_eq!(program.call("include s-1"), ["YES"], "it is in");
    assert_eq!(program.figure("targets_disabled"), 0);
    // With the other one out they go there, one by one, as it may be cold.
    assert_eq!(program.call("exclude s-2"), ["YES"]);
    let began = Instant::now();
    while servers[0].accept_or_hear(&mut program.open("")).is_err() {
        assert!(began.elapsed() < LIMIT, "nobody comes");
    }
}

#[test]
fn with_every_server_taken_out_clients_are_told_so_at_once() {
    let server = Node::new();
    let program = start(&with_door(config(&[("s-1", server.address())])));
    assert_eq!(program.call("exclude s-1"), ["YES"]);
    let (began, mut client) = (Instant::now(), program.open(""));
    assert!(client.line().starts_with("BUSY "));
    // The class's aim, for which a client may be held where a server may come back, is a second.
    assert!(began.elapsed() < Duration::from_millis(700), "{:?}", began.elapsed());
    assert!(!server.is_called());
}

#[test]
fn processes_of_one_balancer_agree_on_who_is_out_and_a_new_one_starts_with_it() {
    let servers = [Node::new(), Node::new()];
    let listed = [("s-1", servers[0].address()), ("s-2", servers[1].address())];
    let settings = with_door(config(&listed));
    let old = start(&settings);
    assert_eq!(old.call("exclude s-1"), ["YES"]);
    // What lies in the folder beside it stops no start.
    let folder =
        std::fs::read_dir(old.common()).expect("a folder").next().expect("the balancer's").expect("it");
    std::fs::write(folder.path().join("out/what"), "?").expect("a file");
    let mut same = settings.clone();
    same["listen"] = json!(old.address());
    let new = old.start_beside(BINARY, &same);
    assert_eq!(new.figure("targets_disabled"), 1);
    assert_eq!(new.call("exclude s-2"), ["YES"]);
    comes_to(&old, "targets_disabled", 2);
    assert_eq!(old.call("include s-1"), ["YES"]);
    comes_to(&new, "targets_disabled", 1);
}

#[test]
fn a_folder_that_could_not_be_read_for_a_while_is_heeded_again() {
    let server = Node::new();
    let program = start(&with_door(config(&[("s-1", server.address())])));
    assert_eq!(program.call("exclude s-1"), ["YES"]);
    let own =
        std::fs::read_dir(program.common()).expect("a folder").next().expect("the balancer's").expect("it");
    let (out, away) = (own.path().join("out"), own.path().join("away"));
    std::fs::rename(&out, &away).expect("the same folder");
    program.logged("event=shared-folder-unavailable");
    assert_eq!(program.figure("targets_disabled"), 1, "what is out stays out");
    std::fs::rename(&away, &out).expect("the same folder");
    // Another process puts it back.
    for file in std::fs::read_dir(&out).expect("a folder") {
        std::fs::remove_file(file.expect("a file").path()).expect("removed");
    }
    comes_to(&program, "targets_disabled", 0);
}
