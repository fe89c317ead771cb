//! Failing system calls: the library of `crates/faults` makes calls of the program fail in ways that Linux documents.

use std::ffi::OsStr;
use std::path::PathBuf;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use shorewharf_emulator::standin::*;

use crate::BINARY;

/// Requests sent under each fault.
const REQUESTS: usize = 40;
/// The most time that a request may take to be accepted. Longer means that the program waited needlessly.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(1000);

/// The fault library, which cargo builds into the same folder as this test.
fn library() -> PathBuf {
    let test = std::env::current_exe().expect("a test has a path");
    let library = test.parent().expect("a parent folder").join("libshorewharf_faults.so");
    assert!(library.exists(), "{} was not built", library.display());
    library
}

/// Starts the program with these faults.
pub(crate) fn start_with_faults(config: &Value, faults: &str) -> BalancerProcess {
    let library = library();
    let env: [(&str, &OsStr); 2] =
        [("LD_PRELOAD", library.as_os_str()), ("SHOREWHARF_FAULTS", OsStr::new(faults))];
    BalancerProcess::start_with_env(BINARY, config, &env)
}

/// Accepts every request at once, until `count` were accepted or none has come for five seconds. Returns their number.
fn serve(node: Server, count: usize) -> JoinHandle<usize> {
    std::thread::spawn(move || {
        let mut accepted = Vec::new();
        while accepted.len() < count {
            let Some(mut peer) = node.accept_within(Duration::from_secs(5)) else { break };
            if matches!(peer.receive(), Received::Line(line) if line.starts_with("OPEN")) {
                peer.try_send_bytes(b"UP 7\r\n");
                accepted.push(peer);
            }
        }
        accepted.len()
    })
}

/// Sends requests one after the other. Returns for each the time until it was accepted, or the other answer.
fn send_requests(program: &BalancerProcess, count: usize) -> Vec<Result<Duration, String>> {
    let mut clients = Vec::new();
    let send = |id: usize| {
        let began = Instant::now();
        let mut client = program.open_with_id(&format!("{id:x}"), "");
        let line = client.receive_line();
        clients.push(client);
        if line.starts_with("UP") { Ok(began.elapsed()) } else { Err(line) }
    };
    (1..=count).map(send).collect()
}

/// Checks that under these faults all requests are accepted without delay.
#[track_caller]
fn expect_all_accepted(faults: &str) {
    let nodes = [Server::new(), Server::new()];
    let known = [("s-1", nodes[0].address()), ("s-2", nodes[1].address())];
    let program = start_with_faults(&config(&known), faults);
    let _servers = nodes.map(|node| serve(node, REQUESTS));
    let results = send_requests(&program, REQUESTS);
    let rejected: Vec<_> = results.iter().filter_map(|t| t.as_ref().err()).collect();
    assert!(rejected.is_empty(), "{faults}: {} of {REQUESTS} not accepted: {rejected:?}", rejected.len());
    let slow = results.iter().flatten().filter(|took| **took > MAX_ANSWER_TIME).count();
    assert_eq!(slow, 0, "{faults}: requests that were accepted later than {MAX_ANSWER_TIME:?}");
}

#[test]
fn reads_of_one_byte_delay_no_request() {
    expect_all_accepted("recv=short");
}

#[test]
fn writes_of_one_byte_delay_no_request() {
    expect_all_accepted("send=short");
}

#[test]
fn a_local_connect_error_does_not_count_against_the_server() {
    for error in ["EADDRNOTAVAIL", "ENETUNREACH", "EHOSTUNREACH", "ENOBUFS", "ENOMEM"] {
        expect_all_accepted(&format!("connect={error}/3"));
    }
}

#[test]
fn brief_failures_of_all_connects_or_sockets_are_waited_out() {
    // The first requests come during the failures: the program serves as soon as it has started.
    for faults in
        ["connect=EADDRNOTAVAIL@0-0.2", "connect=ENETUNREACH%60", "socket=EMFILE%60", "socket=ENFILE/2"]
    {
        expect_all_accepted(faults);
    }
}

#[test]
fn interrupted_or_aborted_calls_are_repeated() {
    for faults in ["wait=EINTR/2", "accept=ECONNABORTED/2", "accept=EINTR/2", "recv=EINTR/2;send=EINTR/2"] {
        expect_all_accepted(faults);
    }
}

#[test]
fn a_brief_shortage_of_descriptors_does_not_prevent_the_start() {
    expect_all_accepted("socket=EMFILE@0-0.3");
}

#[test]
fn wall_clock_steps_change_no_deadline() {
    for seconds in [3600, -3600, 5, -5] {
        expect_all_accepted(&format!("clock={seconds}@0.1-1e9"));
    }
    let (silent, mut settings) = (Server::new(), config(&[]));
    settings["known"]["endpoints"] = json!([endpoint("s-1", silent.address(), "Ready")]);
    let program = start_with_faults(&settings, "clock=3600@0.3-1e9;clock=-7200@0.6-1e9");
    let began = Instant::now();
    let mut client = program.connect();
    client.send_line("OPEN 1 2 c=chat,t=acme,d=1000");
    client.receive_line();
    let took = began.elapsed();
    assert!(
        took > Duration::from_millis(900) && took < Duration::from_millis(1500),
        "answered after {took:?}"
    );
}

#[test]
fn a_server_that_starts_after_a_wall_clock_step_is_warmed_up() {
    for step in [-3600, 3600] {
        let (warm, new, discovery) = (Server::new(), Server::new(), DiscoveryService::new());
        let mut settings = config_with_discovery(&[("s-1", warm.address())], &discovery);
        settings["settings"]["rules"]["overload_for_s"] = json!(1.5);
        let program = start_with_faults(&settings, &format!("clock={step}@0.5-1e9"));
        let mut watch = discovery.accept_watch();
        watch.send_blank_line();
        std::thread::sleep(Duration::from_millis(600));
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
        let mut started = endpoint("s-2", new.address(), "Ready");
        started.since_ms = (unix.as_secs_f64() + f64::from(step)) * 1e3;
        watch.send_list(42, false, vec![started]);
        program.wait_for_log("event=server-ready server=s-2");
        let (listener, new_server) = (new.listener(), serve(new, REQUESTS));
        let _warm = serve(warm, REQUESTS);
        let results = send_requests(&program, REQUESTS);
        drop(listener);
        let accepted = results.iter().flatten().count();
        let at_new = new_server.join().expect("no panic");
        assert!(accepted > REQUESTS / 2, "step {step}: {accepted} accepted");
        assert!(at_new < REQUESTS / 4, "step {step}: the new server got {at_new} of {REQUESTS}");
    }
}

#[test]
fn a_connection_that_times_out_is_closed_on_both_sides() {
    for error in ["ETIMEDOUT", "EHOSTUNREACH"] {
        let server = Server::new();
        // The first read from the server's connection returns its answer, the second one fails.
        let faults = format!("recv:connected={error}/3");
        let program = start_with_faults(&config(&[("s-1", server.address())]), &faults);
        let (mut client, mut attempt) = program.establish(&server);
        attempt.send_line("M 1");
        while client.receive() != Received::Reset {}
        while !matches!(attempt.receive(), Received::Reset | Received::Fin) {}
    }
}

#[test]
fn a_request_whose_first_line_is_partly_written_is_answered_in_a_shutdown() {
    let server = Server::new();
    let mut settings = config(&[("s-1", server.address())]);
    settings["settings"]["classes"][0]["semantics"] = json!("non_idempotent");
    settings["settings"]["classes"][0]["give_up_s"] = json!(1.5);
    let mut program = start_with_faults(&settings, "send:connected=stall");
    let mut client = program.connect();
    client.send_line("OPEN 1 2 c=chat,t=acme,d=1500");
    let mut attempt = server.accept();
    assert_eq!(attempt.read_exactly(5), b"OPEN ");
    program.terminate();
    let answer = client.receive_line();
    assert!(answer == "ERR" || answer.starts_with("BUSY"), "{answer}");
    assert_eq!((client.receive(), attempt.receive()), (Received::Fin, Received::Fin));
    drop((client, attempt));
    assert!(program.wait().success());
}

#[test]
fn clients_in_the_backlog_are_answered_in_a_shutdown_though_accepts_fail() {
    for faults in ["accept=EINTR/2", "accept=ECONNABORTED/2", "accept=EMFILE%50"] {
        let mut program = start_with_faults(&config(&[]), faults);
        program.terminate();
        program.wait_for_log("shutting-down");
        let resume_at = Instant::now() + Duration::from_millis(600);
        program.pause();
        let mut waiting: Vec<_> = (0..60).map(|id| program.open_with_id(&format!("{id:x}"), "")).collect();
        std::thread::sleep(resume_at.saturating_duration_since(Instant::now()));
        program.resume();
        for client in &mut waiting {
            let answer = client.receive();
            assert!(
                matches!(&answer, Received::Line(line) if line.starts_with("BUSY")),
                "{faults}: {answer:?}"
            );
        }
        drop(waiting);
        assert!(program.wait().success());
    }
}

#[test]
fn write_errors_of_snapshots_do_not_affect_service_and_leave_complete_snapshots() {
    for faults in ["write=ENOSPC@0.2-1", "sync=EIO@0.2-1", "write=short/3@0.2-1", "write=EIO%30;sync=EIO%30"]
    {
        let folder = tempfile::tempdir().expect("a folder");
        let node = Server::new();
        let settings = config(&[("s-1", node.address())]);
        let operator = format!(
            "[snapshot]\nfolder = {:?}\nevery_s = 0.1\nkeep = 3\n",
            folder.path().display().to_string()
        );
        let library = library();
        let env = [("LD_PRELOAD", library.as_os_str()), ("SHOREWHARF_FAULTS", OsStr::new(faults))];
        let program = BalancerProcess::start_with_operator_and_env(BINARY, &settings, &operator, &env);
        let (mut client, mut server) = program.establish(&node);
        let until = Instant::now() + Duration::from_millis(1300);
        while Instant::now() < until {
            client.send_line("M 1");
            assert_eq!(server.receive_line(), "M 1");
            server.send_line("M 1");
            assert_eq!(client.receive_line(), "M 1");
        }
        // Killed at any stage of writing: the next process restores a complete snapshot, or starts without one.
        program.kill();
        let next = BalancerProcess::start_with_operator(BINARY, &settings, &operator);
        next.establish(&node);
        assert!(next.find_in_log("snapshot-rejected").is_none(), "{faults}: an incomplete snapshot was left");
    }
}
