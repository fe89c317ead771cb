//! System calls of the program that fail as Linux documents, by the library of `crates/faults`.

use std::ffi::OsStr;
use std::path::PathBuf;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use shorewharf_emulator::standin::*;

use crate::BINARY;

/// Requests that each fault meets.
const REQUESTS: usize = 40;
/// An answer after this was waited for without need.
const PROMPT: Duration = Duration::from_millis(1000);

/// The library that cargo has built beside this test.
fn library() -> PathBuf {
    let test = std::env::current_exe().expect("a test has a path");
    let library = test.parent().expect("a folder").join("libshorewharf_faults.so");
    assert!(library.exists(), "{} was not built", library.display());
    library
}

/// Starts the program with these faults.
fn start_with_faults(config: &Value, faults: &str) -> Program {
    let library = library();
    let env: [(&str, &OsStr); 2] =
        [("LD_PRELOAD", library.as_os_str()), ("SHOREWHARF_FAULTS", OsStr::new(faults))];
    Program::start_in(BINARY, config, &env)
}

/// A server that takes everybody at once, until it has served so many or nobody comes for a while.
fn serve(node: Node, count: usize) -> JoinHandle<usize> {
    std::thread::spawn(move || {
        let mut served = Vec::new();
        while served.len() < count {
            let Some(mut peer) = node.accept_within(Duration::from_secs(5)) else { break };
            if matches!(peer.hear(), Heard::Line(line) if line.starts_with("OPEN")) {
                peer.try_put(b"UP 7\r\n");
                served.push(peer);
            }
        }
        served.len()
    })
}

/// Sends requests one after the other; how long each took to be taken, or what it was told instead.
fn send_requests(program: &Program, count: usize) -> Vec<Result<Duration, String>> {
    let mut clients = Vec::new();
    let send = |id: usize| {
        let begun = Instant::now();
        let mut client = program.open_as(&format!("{id:x}"), "");
        let line = client.line();
        clients.push(client);
        if line.starts_with("UP") { Ok(begun.elapsed()) } else { Err(line) }
    };
    (1..=count).map(send).collect()
}

/// All requests must be taken, and at once, whatever fails.
#[track_caller]
fn expect_all_taken(faults: &str) {
    let nodes = [Node::new(), Node::new()];
    let known = [("s-1", nodes[0].address()), ("s-2", nodes[1].address())];
    let program = start_with_faults(&config(&known), faults);
    let _servers = nodes.map(|node| serve(node, REQUESTS));
    let taken = send_requests(&program, REQUESTS);
    let refused: Vec<_> = taken.iter().filter_map(|t| t.as_ref().err()).collect();
    assert!(refused.is_empty(), "{faults}: {} of {REQUESTS} not taken: {refused:?}", refused.len());
    let slow = taken.iter().flatten().filter(|took| **took > PROMPT).count();
    assert_eq!(slow, 0, "{faults}: requests that waited without need");
}

#[test]
fn reads_of_one_byte_delay_nobody() {
    expect_all_taken("recv=short");
}

#[test]
fn writes_of_one_byte_delay_nobody() {
    expect_all_taken("send=short");
}

#[test]
fn a_connect_that_the_machine_could_not_begin_says_nothing_of_the_server() {
    for error in ["EADDRNOTAVAIL", "ENETUNREACH", "EHOSTUNREACH", "ENOBUFS", "ENOMEM"] {
        expect_all_taken(&format!("connect={error}/3"));
    }
}

#[test]
fn a_moment_without_any_connect_or_socket_is_waited_out() {
    // The first requests come within the moment: the program takes them as soon as it has started.
    for faults in
        ["connect=EADDRNOTAVAIL@0-0.2", "connect=ENETUNREACH%60", "socket=EMFILE%60", "socket=ENFILE/2"]
    {
        expect_all_taken(faults);
    }
}

#[test]
fn calls_that_are_interrupted_or_aborted_are_made_again() {
    for faults in ["wait=EINTR/2", "accept=ECONNABORTED/2", "accept=EINTR/2", "recv=EINTR/2;send=EINTR/2"] {
        expect_all_taken(faults);
    }
}

#[test]
fn a_moment_without_sockets_does_not_keep_the_program_from_starting() {
    expect_all_taken("socket=EMFILE@0-0.3");
}

#[test]
fn steps_of_the_wall_clock_change_no_deadline() {
    for seconds in [3600, -3600, 5, -5] {
        expect_all_taken(&format!("clock={seconds}@0.1-1e9"));
    }
    let (silent, mut settings) = (Node::new(), config(&[]));
    settings["known"]["endpoints"] = json!([endpoint("s-1", silent.address(), "Ready")]);
    let program = start_with_faults(&settings, "clock=3600@0.3-1e9;clock=-7200@0.6-1e9");
    let begun = Instant::now();
    let mut client = program.client();
    client.say("OPEN 1 2 c=chat,t=acme,d=1000");
    client.line();
    let took = begun.elapsed();
    assert!(
        took > Duration::from_millis(900) && took < Duration::from_millis(1500),
        "answered after {took:?}"
    );
}

#[test]
fn a_server_that_starts_after_a_step_of_the_wall_clock_is_cold() {
    for step in [-3600, 3600] {
        let (warm, cold, director) = (Node::new(), Node::new(), Director::new());
        let mut settings = asking(&[("s-1", warm.address())], &director);
        settings["settings"]["rules"]["overload_for_s"] = json!(1.5);
        let program = start_with_faults(&settings, &format!("clock={step}@0.5-1e9"));
        let mut watch = director.watch();
        watch.blank();
        std::thread::sleep(Duration::from_millis(600));
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
        let mut started = endpoint("s-2", cold.address(), "Ready");
        started.since_ms = (unix.as_secs_f64() + f64::from(step)) * 1e3;
        watch.tell(42, false, vec![started]);
        program.logged("event=server-ready server=s-2");
        let (stop, at_cold) = (cold.listener(), serve(cold, REQUESTS));
        let _warm = serve(warm, REQUESTS);
        let taken = send_requests(&program, REQUESTS);
        drop(stop);
        let taken = taken.iter().flatten().count();
        let cold = at_cold.join().expect("no panic");
        assert!(taken > REQUESTS / 2, "step {step}: {taken} taken");
        assert!(cold < REQUESTS / 4, "step {step}: a cold server got {cold} of {REQUESTS}");
    }
}

#[test]
fn a_connection_that_breaks_by_a_time_out_ends_both_sides() {
    for error in ["ETIMEDOUT", "EHOSTUNREACH"] {
        let server = Node::new();
        // The first read on the server's connection finds its answer, the second one finds it broken.
        let faults = format!("recv:connected={error}/3");
        let program = start_with_faults(&config(&[("s-1", server.address())]), &faults);
        let (mut client, mut attempt) = program.stand(&server);
        attempt.say("M 1");
        while client.hear() != Heard::Reset {}
        while !matches!(attempt.hear(), Heard::Reset | Heard::Fin) {}
    }
}

#[test]
fn a_line_that_is_half_written_as_the_program_ends_gets_its_answer() {
    let server = Node::new();
    let mut settings = config(&[("s-1", server.address())]);
    settings["settings"]["classes"][0]["semantics"] = json!("non_idempotent");
    settings["settings"]["classes"][0]["give_up_s"] = json!(1.5);
    let mut program = start_with_faults(&settings, "send:connected=stall");
    let mut client = program.client();
    client.say("OPEN 1 2 c=chat,t=acme,d=1500");
    let mut attempt = server.accept();
    assert_eq!(attempt.read_exactly(5), b"OPEN ");
    program.terminate();
    let answer = client.line();
    assert!(answer == "ERR" || answer.starts_with("BUSY"), "{answer}");
    assert_eq!((client.hear(), attempt.hear()), (Heard::Fin, Heard::Fin));
    drop((client, attempt));
    assert!(program.wait().success());
}

#[test]
fn who_waits_at_the_listener_is_answered_though_accepting_fails_as_the_program_ends() {
    for faults in ["accept=EINTR/2", "accept=ECONNABORTED/2", "accept=EMFILE%50"] {
        let mut program = start_with_faults(&config(&[]), faults);
        program.terminate();
        program.logged("shutting-down");
        let over = Instant::now() + Duration::from_millis(600);
        program.pause();
        let mut waiting: Vec<_> = (0..60).map(|id| program.open_as(&format!("{id:x}"), "")).collect();
        std::thread::sleep(over.saturating_duration_since(Instant::now()));
        program.resume();
        for client in &mut waiting {
            let heard = client.hear();
            assert!(matches!(&heard, Heard::Line(line) if line.starts_with("BUSY")), "{faults}: {heard:?}");
        }
        drop(waiting);
        assert!(program.wait().success());
    }
}

#[test]
fn a_folder_that_fails_for_a_while_stops_no_service_and_leaves_whole_records() {
    for faults in ["write=ENOSPC@0.2-1", "sync=EIO@0.2-1", "write=short/3@0.2-1", "write=EIO%30;sync=EIO%30"]
    {
        let folder = tempfile::tempdir().expect("a folder");
        let node = Node::new();
        let settings = config(&[("s-1", node.address())]);
        let keeping = format!(
            "[snapshot]\nfolder = {:?}\nevery_s = 0.1\nkeep = 3\n",
            folder.path().display().to_string()
        );
        let library = library();
        let env = [("LD_PRELOAD", library.as_os_str()), ("SHOREWHARF_FAULTS", OsStr::new(faults))];
        let program = Program::start_in_with(BINARY, &settings, &keeping, &env);
        let (mut client, mut server) = program.stand(&node);
        let until = Instant::now() + Duration::from_millis(1300);
        while Instant::now() < until {
            client.say("M 1");
            assert_eq!(server.line(), "M 1");
            server.say("M 1");
            assert_eq!(client.line(), "M 1");
        }
        // Killed in the middle of whatever it writes: the next one takes a whole record, or starts without one.
        program.kill();
        let next = Program::start_with(BINARY, &settings, &keeping);
        next.stand(&node);
        assert!(next.has_logged("snapshot-rejected").is_none(), "{faults}: a record that is not whole");
    }
}
