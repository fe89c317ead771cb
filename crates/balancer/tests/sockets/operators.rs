//! Calls of operators: readiness, metrics, and disabling servers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use shorewharf_emulator::standin::*;

use crate::{BINARY, start};

/// A call must be answered within this time under any load.
const MAX_CALL_TIME: Duration = Duration::from_secs(1);

/// Adds an address for operators to a configuration.
pub fn with_operator_address(mut config: Value) -> Value {
    config["operator"] = json!(SocketAddr::from((loopback(0), 0)));
    config
}

/// Waits until a metric has this value.
#[track_caller]
pub fn wait_for_metric(program: &Program, name: &str, value: u64) {
    let began = Instant::now();
    loop {
        match program.figure(name) {
            current if current == value => return,
            current if began.elapsed() > LIMIT => panic!("{name} is {current} after {LIMIT:?}, not {value}"),
            _ => std::thread::yield_now(),
        }
    }
}

#[test]
fn every_call_is_answered_and_an_invalid_one_with_a_reason() {
    let program = start(&with_operator_address(config(&[])));
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
        let answer = program.call(line);
        assert!(answer.len() == 1 && answer[0].starts_with(why), "{line:.40}: {answer:?}");
    }
    let mut split_call = program.operator("rea");
    program.settled();
    split_call.put(b"dyz\r\n");
    assert_eq!(split_call.rest(), ["YES"]);
    // The operators' address takes no requests, and the clients' address no operator calls.
    assert!(program.call("OPEN 1 2 c=chat")[0].starts_with("NO "));
    let mut client = program.client();
    client.say("readyz");
    assert_eq!(client.line(), "ERR");
}

#[test]
fn a_process_that_shuts_down_reports_that_it_is_not_ready() {
    let server = Node::new();
    let program = start(&with_operator_address(config(&[("s-1", server.address())])));
    let _connection = program.stand(&server);
    program.terminate();
    program.logged("event=shutting-down");
    assert!(program.call("readyz")[0].starts_with("NO "));
}

#[test]
fn an_unusable_operator_address_prevents_the_start() {
    let occupied = Node::new();
    let mut settings = config(&[]);
    for (address, why) in
        [(json!(occupied.address()), "cannot listen at"), (json!("nowhere"), "ADDRESS:PORT")]
    {
        settings["operator"] = address;
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
    let mut settings = with_operator_address(config(&[("s-1", server.address())]));
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
    let (client, upstream) = program.stand(&server);
    wait_for_metric(&program, "replies.chat.success", 1);
    assert_eq!((program.figure("dispatches"), program.figure("concurrent")), (1, 1));
    // Malformed requests count if they name a class; clients that send nothing or name no class do not.
    let mut bad = program.client();
    bad.say("OPEN 1 2 c=feed,d=nonsense");
    assert_eq!(bad.line(), "ERR");
    let mut bad = program.client();
    bad.say("OPEN 1 2 c=none");
    assert_eq!(bad.line(), "ERR");
    drop(program.client());
    // A request that may have run and must not be sent again.
    let mut unretryable = program.client();
    unretryable.say("OPEN 77 2 c=feed,d=20000");
    let mut attempt = server.accept();
    attempt.line();
    attempt.say("ERR");
    assert_eq!(unretryable.line(), "ERR");
    wait_for_metric(&program, "replies.feed.error", 2);
    assert_eq!((program.figure("dispatches"), program.figure("replies.chat.error")), (2, 0));
    // A client that disconnects before its answer.
    let disconnected = program.open("");
    let mut attempt = server.accept();
    attempt.line();
    drop(disconnected);
    wait_for_metric(&program, "replies.chat.error", 1);
    drop((client, upstream));
    wait_for_metric(&program, "concurrent", 0);
    assert_eq!((program.figure("replies.chat.success"), program.figure("dispatches")), (1, 3));
}

#[test]
fn operators_are_answered_in_time_while_clients_and_silent_callers_hold_all_descriptors() {
    let mut settings = with_operator_address(config(&[]));
    settings["limits"]["sockets"] = json!(96);
    let program = start(&settings);
    let _clients: Vec<_> = (0..400).map(|_| program.client()).collect();
    let _incomplete: Vec<_> = (0..40).map(|_| program.operator("teleme")).collect();
    let _silent: Vec<_> = (0..40).map(|_| program.operator("")).collect();
    for _ in 0..20 {
        let began = Instant::now();
        assert_eq!(program.call("readyz"), ["YES"]);
        assert_eq!(program.call("telemetry").last().map(String::as_str), Some("END"));
        assert!(began.elapsed() < 2 * MAX_CALL_TIME, "{:?}", began.elapsed());
    }
}

#[test]
fn a_disabled_server_gets_no_clients_until_it_is_enabled() {
    let (servers, director) = ([Node::new(), Node::new()], Director::new());
    let listed = [("s-1", servers[0].address()), ("s-2", servers[1].address())];
    let mut settings = with_operator_address(asking(&listed[..1], &director));
    let program = start(&settings);
    let mut watch = director.watch();
    let (mut client, _upstream) = program.stand(&servers[0]);
    let [one, two] = [0, 1].map(|i| endpoint(listed[i].0, listed[i].1, "Ready"));
    watch.tell(42, false, vec![two.clone()]);
    wait_for_metric(&program, "targets", 2);
    assert_eq!(program.call("exclude s-1"), ["YES"]);
    assert_eq!(program.figure("targets_disabled"), 1);
    assert_eq!(client.line(), "MOVE");
    assert_eq!(program.call("exclude s-1"), ["YES"], "a second call changes nothing");
    // It stays disabled through list changes, its removal and return, a snapshot, and a reload.
    watch.tell(43, false, vec![endpoint("s-1", listed[0].1, "Gone")]);
    wait_for_metric(&program, "targets", 1);
    watch.tell(44, false, vec![one.clone()]);
    wait_for_metric(&program, "targets", 2);
    watch.tell(45, true, vec![one, two]);
    settings["limits"]["sockets"] = json!(1000);
    program.reconfigure(&settings.to_string());
    program.logged("event=reloaded");
    assert_eq!(program.figure("targets_disabled"), 1);
    let _connections: Vec<_> = (0..8).map(|_| program.stand(&servers[1])).collect();
    assert!(!servers[0].is_called());
    assert_eq!(program.call("include s-1"), ["YES"]);
    assert_eq!(program.call("include s-1"), ["YES"], "a second call changes nothing");
    assert_eq!(program.figure("targets_disabled"), 0);
    // With the other one disabled, clients go there one at a time, as it may need to warm up.
    assert_eq!(program.call("exclude s-2"), ["YES"]);
    let began = Instant::now();
    while servers[0].accept_or_hear(&mut program.open("")).is_err() {
        assert!(began.elapsed() < LIMIT, "the enabled server gets no client");
    }
}

#[test]
fn clients_are_rejected_at_once_while_every_server_is_disabled() {
    let server = Node::new();
    let program = start(&with_operator_address(config(&[("s-1", server.address())])));
    assert_eq!(program.call("exclude s-1"), ["YES"]);
    let (began, mut client) = (Instant::now(), program.open(""));
    assert!(client.line().starts_with("BUSY "));
    // Where a server may return, a request may wait for the latency objective of its class, a second.
    assert!(began.elapsed() < Duration::from_millis(700), "{:?}", began.elapsed());
    assert!(!server.is_called());
}

/// The folder that the processes of a program's balancer share.
fn shared_folder(program: &Program) -> std::path::PathBuf {
    let mut entries = std::fs::read_dir(program.common()).expect("the common folder is readable");
    entries.next().expect("the balancer's folder").expect("an entry").path()
}

#[test]
fn processes_of_one_balancer_share_the_disabled_servers_from_their_start() {
    let servers = [Node::new(), Node::new()];
    let listed = [("s-1", servers[0].address()), ("s-2", servers[1].address())];
    let settings = with_operator_address(config(&listed));
    let old = start(&settings);
    assert_eq!(old.call("exclude s-1"), ["YES"]);
    // An unrelated file in the shared folder does not prevent a start.
    std::fs::write(shared_folder(&old).join("out/what"), "?").expect("the file is written");
    let mut same = settings.clone();
    same["listen"] = json!(old.address());
    let new = old.start_beside(BINARY, &same);
    assert_eq!(new.figure("targets_disabled"), 1);
    assert_eq!(new.call("exclude s-2"), ["YES"]);
    wait_for_metric(&old, "targets_disabled", 2);
    assert_eq!(old.call("include s-1"), ["YES"]);
    wait_for_metric(&new, "targets_disabled", 1);
}

#[test]
fn a_shared_folder_that_was_unreadable_for_a_while_is_used_again() {
    let server = Node::new();
    let program = start(&with_operator_address(config(&[("s-1", server.address())])));
    assert_eq!(program.call("exclude s-1"), ["YES"]);
    let folder = shared_folder(&program);
    let (out, away) = (folder.join("out"), folder.join("away"));
    std::fs::rename(&out, &away).expect("it is renamed");
    program.logged("event=shared-folder-unavailable");
    assert_eq!(program.figure("targets_disabled"), 1, "the disabled server stays disabled");
    std::fs::rename(&away, &out).expect("it is renamed");
    // The server is enabled as another process of the balancer would do it: its file is removed.
    for file in std::fs::read_dir(&out).expect("the folder is readable") {
        std::fs::remove_file(file.expect("an entry").path()).expect("the file is removed");
    }
    wait_for_metric(&program, "targets_disabled", 0);
}
