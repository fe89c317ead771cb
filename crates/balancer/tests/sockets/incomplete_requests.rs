//! Connections whose first line is incomplete when this process ends them: each one is answered, as the rest of the
//! line may be on its way. Regression tests for the incident of 2026-12-04.

use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use shorewharf_emulator::standin::*;

use crate::start;

/// Client timeouts, from the shortest that the settings allow to one above the longest that delays SIGKILL.
const CLIENT_TIMEOUTS_MS: [u64; 8] = [1, 50, 200, 450, 600, 1000, 1500, 3200];
/// SIGKILL comes no sooner after SIGTERM than this and the client timeout, which counts up to the next constant.
const KILL_DELAY: Duration = Duration::from_millis(700);
const MAX_CLIENT_TIMEOUT: Duration = Duration::from_millis(3000);
/// Clients are still sent to a process for this long after its SIGTERM.
pub(crate) const DRAIN_TIME: Duration = Duration::from_millis(400);
/// The time between two clients that connect.
const CONNECT_INTERVAL: Duration = Duration::from_millis(25);

/// The pieces in which a client writes its first line: the length of the first piece, and the time before each piece.
#[derive(Clone, Copy, Debug)]
struct Pieces {
    first_length: FirstLength,
    before_first: Duration,
    before_rest: Duration,
}

/// How much of the first line is in the first piece.
#[derive(Clone, Copy, Debug)]
enum FirstLength {
    OneByte,
    Half,
    AllButOneByte,
}

impl FirstLength {
    fn of(self, line: &str) -> usize {
        match self {
            FirstLength::OneByte => 1,
            FirstLength::Half => line.len() / 2,
            FirstLength::AllButOneByte => line.len() - 1,
        }
    }
}

const FIRST_LENGTHS: [FirstLength; 3] = [FirstLength::OneByte, FirstLength::Half, FirstLength::AllButOneByte];
const GAPS_MS: [u64; 4] = [0, 20, 50, 120];

/// The pieces of the client with this number; consecutive clients have all combinations of lengths and gaps.
fn pieces(number: usize) -> Pieces {
    let gap = |index: usize| Duration::from_millis(GAPS_MS[index % GAPS_MS.len()]);
    Pieces {
        first_length: FIRST_LENGTHS[number % FIRST_LENGTHS.len()],
        before_first: gap(number / 2),
        before_rest: gap(number + 1),
    }
}

pub(crate) fn first_line(id: usize) -> String {
    format!("OPEN {:x} 7f3a c=chat,t=acme\r\n", id + 1)
}

/// A configuration without servers whose only class has this client timeout.
pub(crate) fn config_with_timeout(milliseconds: u64) -> Value {
    let mut settings = config(&[]);
    settings["settings"]["classes"][0]["give_up_s"] =
        json!(Duration::from_millis(milliseconds).as_secs_f64());
    settings
}

/// When SIGKILL may come, counted from SIGTERM.
pub(crate) fn kill_time(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds).min(MAX_CLIENT_TIMEOUT) + KILL_DELAY
}

/// Sends a first line in pieces. A close by the program in the meantime shows in what is received.
fn send_in_pieces(client: &mut Connection, line: &str, pieces: Pieces) {
    let (first, rest) = line.as_bytes().split_at(pieces.first_length.of(line));
    thread::sleep(pieces.before_first);
    client.try_send_bytes(first);
    thread::sleep(pieces.before_rest);
    client.try_send_bytes(rest);
}

/// Checks that a client gets a rejection as its only answer, and then an orderly close.
#[track_caller]
pub(crate) fn expect_rejection(client: &mut Connection, what: &str) {
    let answer = client.receive();
    assert!(matches!(&answer, Received::Line(line) if line.starts_with("BUSY ")), "{what}: {answer:?}");
    assert_eq!(client.receive(), Received::Fin, "{what}");
}

/// Checks that the program ends by itself before SIGKILL may come.
#[track_caller]
fn expect_end_before_kill(mut program: BalancerProcess, terminated_at: Instant, timeout: u64) {
    assert!(program.wait().success());
    let elapsed = terminated_at.elapsed();
    assert!(elapsed < kill_time(timeout), "timeout {timeout} ms: ended {elapsed:?} after SIGTERM");
}

/// Runs `check` for each client timeout, at the same time.
fn for_each_timeout(check: impl Fn(u64) + Sync) {
    thread::scope(|scope| {
        for timeout in CLIENT_TIMEOUTS_MS {
            let check = &check;
            scope.spawn(move || check(timeout));
        }
    });
}

/// Connects clients until the drain time is over, each of which writes its first line in pieces.
fn connect_clients_in_pieces(program: &BalancerProcess, timeout: u64) {
    let address = program.address();
    thread::scope(|scope| {
        let began = Instant::now();
        for number in 0.. {
            let connect_at = CONNECT_INTERVAL * u32::try_from(number).expect("few clients");
            thread::sleep(connect_at.saturating_sub(began.elapsed()));
            if began.elapsed() >= DRAIN_TIME {
                break;
            }
            let mut client = Connection::connect(address);
            scope.spawn(move || {
                let pieces = pieces(number);
                send_in_pieces(&mut client, &first_line(number), pieces);
                expect_rejection(&mut client, &format!("timeout {timeout} ms, client {number}, {pieces:?}"));
            });
        }
    });
}

/// Guards against requests that a planned restart lost because their first lines came in pieces.
#[test]
fn a_request_that_arrives_in_pieces_in_a_shutdown_is_answered_whatever_the_client_timeout() {
    for_each_timeout(|timeout| {
        let program = start(&config_with_timeout(timeout));
        program.terminate();
        let terminated_at = Instant::now();
        connect_clients_in_pieces(&program, timeout);
        expect_end_before_kill(program, terminated_at, timeout);
    });
}

/// Guards against a close without an answer on which the rest of a first line, or a whole one, may be on its way.
#[test]
fn a_connection_without_a_complete_request_gets_a_rejection_before_a_shutdown_ends_it() {
    for_each_timeout(|timeout| {
        let program = start(&config_with_timeout(timeout));
        let line = first_line(0);
        let mut clients = Vec::new();
        for has_pinged in [false, true] {
            for received in [0, 1, line.len() / 2, line.len() - 1] {
                let mut client = program.connect();
                if has_pinged {
                    client.send_line("PING");
                    assert_eq!(client.receive_line(), "PONG");
                }
                client.send_bytes(&line.as_bytes()[..received]);
                clients.push((client, format!("timeout {timeout} ms, {received} bytes, {has_pinged}")));
            }
        }
        program.sync();
        program.terminate();
        let terminated_at = Instant::now();
        for (client, what) in &mut clients {
            expect_rejection(client, what);
        }
        drop(clients);
        expect_end_before_kill(program, terminated_at, timeout);
    });
}

/// How much of the first line a client has sent when its connection is ended: each of its cuts.
fn partial_lengths(line: &str) -> [usize; 3] {
    FIRST_LENGTHS.map(|length| length.of(line))
}

/// Guards against a timeout of the first line that closed without an answer while the rest of the line came in.
#[test]
fn a_client_whose_first_line_is_not_complete_in_time_gets_an_error() {
    let program = start(&config(&[]));
    let line = first_line(0);
    let mut clients = Vec::new();
    for has_pinged in [false, true] {
        for length in partial_lengths(&line) {
            let mut client = program.connect();
            if has_pinged {
                client.send_line("PING");
                assert_eq!(client.receive_line(), "PONG");
            }
            client.send_bytes(&line.as_bytes()[..length]);
            clients.push((client, length));
        }
    }
    let sent_at = Instant::now();
    for (client, length) in &mut clients {
        assert_eq!(
            (client.receive_line(), client.receive()),
            ("ERR".into(), Received::Fin),
            "{length} bytes"
        );
        // The rest of the line crosses the answer. The program still reads it, so the connection is not reset.
        client.send_bytes(&line.as_bytes()[*length..]);
        assert_eq!(client.receive(), Received::Fin, "{length} bytes");
    }
    assert!(sent_at.elapsed() < Duration::from_secs(3), "answered after {:?}", sent_at.elapsed());
}

/// Guards against a request that crosses the close of a connection on which nothing was received in time.
#[test]
fn a_request_that_crosses_the_timeout_of_a_silent_client_gets_an_error() {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    let mut silent = program.connect();
    program.sync();
    assert!(silent.has_input(Duration::from_secs(3)), "not closed in time");
    // The client has not read what arrived, so its request crosses it.
    silent.send_bytes(first_line(0).as_bytes());
    assert_eq!((silent.receive_line(), silent.receive()), ("ERR".into(), Received::Fin));
    program.sync();
    assert!(!server.has_pending_connection(), "an attempt for a client that has its final answer");
}

/// Guards against an eviction that closed without an answer while the rest of the line came in.
#[test]
fn a_client_that_is_evicted_with_a_part_of_its_first_line_is_rejected() {
    let server = Server::new();
    let mut settings = config(&[("s-1", server.address())]);
    settings["limits"]["sockets"] = json!(40);
    let program = start(&settings);
    let line = first_line(0);
    let mut partial = Vec::new();
    for length in partial_lengths(&line) {
        let mut client = program.connect();
        client.send_bytes(&line.as_bytes()[..length]);
        partial.push((client, length));
    }
    program.sync();
    // More idle clients than there are descriptors for: the oldest ones are evicted.
    let _idle: Vec<_> = (0..40).map(|_| program.connect()).collect();
    for (client, length) in &mut partial {
        expect_rejection(client, &format!("{length} bytes"));
    }
}

/// Guards against a hand-over in which the old process closes a connection in the middle of its first line.
#[test]
fn a_client_in_the_middle_of_its_first_line_is_answered_by_a_process_that_is_replaced() {
    let settings = crate::operators::with_operator_address(config_with_timeout(600));
    let old = start(&settings);
    let line = first_line(0);
    let mut stopped: Vec<_> = partial_lengths(&line)
        .into_iter()
        .map(|length| {
            let mut client = old.connect();
            client.send_bytes(&line.as_bytes()[..length]);
            client
        })
        .collect();
    let mut slow = old.connect();
    slow.send_bytes(&line.as_bytes()[..1]);
    old.sync();
    let mut config = settings.clone();
    config["listen"] = json!(old.address());
    let new = old.start_sibling(crate::BINARY, &config);
    old.terminate();
    let terminated_at = Instant::now();
    assert!(old.wait_for_log("event=shutting-down").contains("successor=true"));
    thread::sleep(Duration::from_millis(300));
    slow.send_bytes(&line.as_bytes()[1..]);
    expect_rejection(&mut slow, "a line that is completed after SIGTERM");
    for client in &mut stopped {
        expect_rejection(client, "a line that is not completed");
    }
    drop((slow, stopped));
    expect_end_before_kill(old, terminated_at, 600);
    // The new process accepts clients at the same listener.
    expect_rejection(&mut new.open(""), "a client of the new process, which has no servers");
}
