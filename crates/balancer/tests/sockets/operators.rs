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
    config["operator"] = json!(SocketAddr::from((loopback_address(0), 0)));
    config
}

/// Waits until a metric has this value.
#[track_caller]
pub fn wait_for_metric(program: &BalancerProcess, name: &str, value: u64) {
    let began = Instant::now();
    loop {
        match program.metric(name) {
            current if current == value => return,
            current if began.elapsed() > LIMIT => panic!("{name} is {current} after {LIMIT:?}, not {value}"),
            _ => std::thread::yield_now(),
        }
    }
}

#[test]
fn every_call_is_answered_and_an_invalid_one_with_a_reason() {
    let program = start(&with_operator_address(config(&[])));
    assert_eq!(program.operator_command("readyz"), ["YES"]);
    assert_eq!(program.connect_operator("readyz\n").receive_until_fin(), ["YES\n"]);
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
        let answer = program.operator_command(line);
        assert!(answer.len() == 1 && answer[0].starts_with(why), "{line:.40}: {answer:?}");
    }
    let mut split_call = program.connect_operator("rea");
    program.sync();
    split_call.send_bytes(b"dyz\r\n");
    assert_eq!(split_call.receive_until_fin(), ["YES"]);
    // The operators' address takes no requests, and the clients' address no operator calls.
    assert!(program.operator_command("OPEN 1 2 c=chat")[0].starts_with("NO "));
    let mut client = program.connect();
    client.send_line("readyz");
    assert_eq!(client.receive_line(), "ERR");
}

#[test]
fn a_process_that_shuts_down_reports_that_it_is_not_ready() {
    let server = Server::new();
    let program = start(&with_operator_address(config(&[("s-1", server.address())])));
    let _connection = program.establish(&server);
    program.terminate();
    program.wait_for_log("event=shutting-down");
    assert!(program.operator_command("readyz")[0].starts_with("NO "));
}

#[test]
fn an_unusable_operator_address_prevents_the_start() {
    let occupied = Server::new();
    let mut settings = config(&[]);
    for (address, why) in
        [(json!(occupied.address()), "cannot listen at"), (json!("nowhere"), "ADDRESS:PORT")]
    {
        settings["operator"] = address;
        let (code, log) = run_to_exit(BINARY, &settings);
        assert_eq!(code, Some(2), "{log}");
        assert!(
            log.contains("event=bad-config") && log.contains("key=operator") && log.contains(why),
            "{log}"
        );
    }
}

#[test]
fn each_connection_is_counted_once_under_its_class() {
    let server = Server::new();
    let mut settings = with_operator_address(config(&[("s-1", server.address())]));
    settings["settings"]["classes"] = json!([
        {"name": "chat", "semantics": "read_like", "promise_s": 1.0, "give_up_s": 20.0},
        {"name": "feed", "semantics": "non_idempotent", "promise_s": 1.0, "give_up_s": 20.0}]);
    settings["settings"]["specifics"]["message_aim_s"] = json!([0.05, 0.05]);
    let program = start(&settings);
    for class in ["chat", "feed"] {
        for reply in ["success", "overload", "error"] {
            assert_eq!(program.metric(&format!("replies.{class}.{reply}")), 0);
        }
    }
    assert_eq!((program.metric("targets"), program.metric("targets_disabled")), (1, 0));
    let (client, upstream) = program.establish(&server);
    wait_for_metric(&program, "replies.chat.success", 1);
    assert_eq!((program.metric("dispatches"), program.metric("concurrent")), (1, 1));
    // Malformed requests count if they name a class; clients that send nothing or name no class do not.
    let mut bad = program.connect();
    bad.send_line("OPEN 1 2 c=feed,d=nonsense");
    assert_eq!(bad.receive_line(), "ERR");
    let mut bad = program.connect();
    bad.send_line("OPEN 1 2 c=none");
    assert_eq!(bad.receive_line(), "ERR");
    drop(program.connect());
    // A request that may have run is not sent again.
    let mut unretryable = program.connect();
    unretryable.send_line("OPEN 77 2 c=feed,d=20000");
    let mut attempt = server.accept();
    attempt.receive_line();
    attempt.send_line("ERR");
    assert_eq!(unretryable.receive_line(), "ERR");
    wait_for_metric(&program, "replies.feed.error", 2);
    assert_eq!((program.metric("dispatches"), program.metric("replies.chat.error")), (2, 0));
    // A client that disconnects before its answer counts as an error.
    let disconnected = program.open("");
    let mut attempt = server.accept();
    attempt.receive_line();
    drop(disconnected);
    wait_for_metric(&program, "replies.chat.error", 1);
    drop((client, upstream));
    wait_for_metric(&program, "concurrent", 0);
    assert_eq!((program.metric("replies.chat.success"), program.metric("dispatches")), (1, 3));
}

#[test]
fn operators_are_answered_in_time_while_clients_and_silent_callers_hold_all_descriptors() {
    let mut settings = with_operator_address(config(&[]));
    settings["limits"]["sockets"] = json!(96);
    let program = start(&settings);
    let _clients: Vec<_> = (0..400).map(|_| program.connect()).collect();
    let _incomplete: Vec<_> = (0..40).map(|_| program.connect_operator("teleme")).collect();
    let _silent: Vec<_> = (0..40).map(|_| program.connect_operator("")).collect();
    for _ in 0..20 {
        let began = Instant::now();
        assert_eq!(program.operator_command("readyz"), ["YES"]);
        assert_eq!(program.operator_command("telemetry").last().map(String::as_str), Some("END"));
        assert!(began.elapsed() < 2 * MAX_CALL_TIME, "{:?}", began.elapsed());
    }
}

#[test]
fn a_disabled_server_gets_no_clients_until_it_is_enabled() {
    let (servers, discovery) = ([Server::new(), Server::new()], DiscoveryService::new());
    let listed = [("s-1", servers[0].address()), ("s-2", servers[1].address())];
    let mut settings = with_operator_address(config_with_discovery(&listed[..1], &discovery));
    let program = start(&settings);
    let mut watch = discovery.accept_watch();
    let (mut client, _upstream) = program.establish(&servers[0]);
    let [one, two] = [0, 1].map(|i| endpoint(listed[i].0, listed[i].1, "Ready"));
    watch.send_list(42, false, vec![two.clone()]);
    wait_for_metric(&program, "targets", 2);
    assert_eq!(program.operator_command("exclude s-1"), ["YES"]);
    assert_eq!(program.metric("targets_disabled"), 1);
    assert_eq!(client.receive_line(), "MOVE");
    assert_eq!(program.operator_command("exclude s-1"), ["YES"], "a second call changes nothing");
    // The server stays disabled through list changes, its removal and return, a snapshot, and a reload.
    watch.send_list(43, false, vec![endpoint("s-1", listed[0].1, "Gone")]);
    wait_for_metric(&program, "targets", 1);
    watch.send_list(44, false, vec![one.clone()]);
    wait_for_metric(&program, "targets", 2);
    watch.send_list(45, true, vec![one, two]);
    settings["limits"]["sockets"] = json!(1000);
    program.reconfigure(&settings.to_string());
    program.wait_for_log("event=reloaded");
    assert_eq!(program.metric("targets_disabled"), 1);
    let _connections: Vec<_> = (0..8).map(|_| program.establish(&servers[1])).collect();
    assert!(!servers[0].has_pending_connection());
    assert_eq!(program.operator_command("include s-1"), ["YES"]);
    assert_eq!(program.operator_command("include s-1"), ["YES"], "a second call changes nothing");
    assert_eq!(program.metric("targets_disabled"), 0);
    // With the other one disabled, clients go there one at a time, as it may need to warm up.
    assert_eq!(program.operator_command("exclude s-2"), ["YES"]);
    let began = Instant::now();
    while servers[0].accept_or_receive(&mut program.open("")).is_err() {
        assert!(began.elapsed() < LIMIT, "the enabled server gets no client");
    }
}

#[test]
fn clients_are_rejected_at_once_while_every_server_is_disabled() {
    let server = Server::new();
    let program = start(&with_operator_address(config(&[("s-1", server.address())])));
    assert_eq!(program.operator_command("exclude s-1"), ["YES"]);
    let (began, mut client) = (Instant::now(), program.open(""));
    assert!(client.receive_line().starts_with("BUSY "));
    // Where a server may return, a request may wait for the latency objective of its class, a second.
    assert!(began.elapsed() < Duration::from_millis(700), "{:?}", began.elapsed());
    assert!(!server.has_pending_connection());
}

/// The folder that the processes of a program's balancer share.
fn shared_folder(program: &BalancerProcess) -> std::path::PathBuf {
    let mut entries = std::fs::read_dir(program.shared_folder()).expect("the common folder is readable");
    entries.next().expect("the balancer's folder").expect("an entry").path()
}

#[test]
fn processes_of_one_balancer_share_the_disabled_servers_from_their_start() {
    let servers = [Server::new(), Server::new()];
    let listed = [("s-1", servers[0].address()), ("s-2", servers[1].address())];
    let settings = with_operator_address(config(&listed));
    let old = start(&settings);
    assert_eq!(old.operator_command("exclude s-1"), ["YES"]);
    // An unrelated file in the shared folder does not prevent a start.
    std::fs::write(shared_folder(&old).join("out/what"), "?").expect("the file is written");
    let mut same = settings.clone();
    same["listen"] = json!(old.address());
    let new = old.start_sibling(BINARY, &same);
    assert_eq!(new.metric("targets_disabled"), 1);
    assert_eq!(new.operator_command("exclude s-2"), ["YES"]);
    wait_for_metric(&old, "targets_disabled", 2);
    assert_eq!(old.operator_command("include s-1"), ["YES"]);
    wait_for_metric(&new, "targets_disabled", 1);
}

#[test]
fn a_shared_folder_that_was_unreadable_for_a_while_is_used_again() {
    let server = Server::new();
    let program = start(&with_operator_address(config(&[("s-1", server.address())])));
    assert_eq!(program.operator_command("exclude s-1"), ["YES"]);
    let folder = shared_folder(&program);
    let (out, away) = (folder.join("out"), folder.join("away"));
    std::fs::rename(&out, &away).expect("it is renamed");
    program.wait_for_log("event=shared-folder-unavailable");
    assert_eq!(program.metric("targets_disabled"), 1, "the disabled server stays disabled");
    std::fs::rename(&away, &out).expect("it is renamed");
    // The server is enabled as another process of the balancer would do it: its file is removed.
    for file in std::fs::read_dir(&out).expect("the folder is readable") {
        std::fs::remove_file(file.expect("an entry").path()).expect("the file is removed");
    }
    wait_for_metric(&program, "targets_disabled", 0);
}
