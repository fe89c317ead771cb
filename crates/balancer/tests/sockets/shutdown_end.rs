//! The moment at which a shutdown ends the process: clients that wait at the listener, or whose bytes are unread, are
//! answered first. The program is paused until that moment, as by a stall of its machine.

use std::thread;
use std::time::{Duration, Instant};

use shorewharf_emulator::standin::*;

use crate::faults::start_with_faults;
use crate::incomplete_requests::{DRAIN_TIME, config_with_timeout, expect_rejection, first_line, kill_time};
use crate::{BINARY, start};

/// The program is resumed this long before SIGKILL may come. By then its shutdown must end, for any client timeout.
const RESUME_BEFORE_KILL: Duration = Duration::from_millis(100);
/// More clients than one iteration of the event loop accepts.
const WAITING_CLIENTS: usize = 150;

/// What a client has sent when the process ends.
fn sent_bytes(number: usize, line: &str) -> &[u8] {
    let length = match number % 5 {
        0 => 0,
        1 => 1,
        2 => line.len() - 1,
        _ => line.len(),
    };
    &line.as_bytes()[..length]
}

/// Connects a client that sends its first line as a whole, in part or not at all.
fn connect_client(program: &BalancerProcess, number: usize) -> Connection {
    let mut client = program.connect();
    client.send_bytes(sent_bytes(number, &first_line(number)));
    client
}

/// Pauses the program from now until its shutdown, which began at `terminated_at`, must end; runs `meanwhile` in the
/// pause.
fn pause_until_end<T>(
    program: &BalancerProcess,
    terminated_at: Instant,
    timeout: u64,
    meanwhile: impl FnOnce() -> T,
) -> T {
    program.pause();
    let result = meanwhile();
    let resume_at = terminated_at + kill_time(timeout) - RESUME_BEFORE_KILL;
    thread::sleep(resume_at.saturating_duration_since(Instant::now()));
    program.resume();
    result
}

/// Lets clients wait at the listener until the shutdown ends, and checks their answers.
fn expect_backlog_is_answered(mut program: BalancerProcess, timeout: u64, what: &str) {
    program.terminate();
    let terminated_at = Instant::now();
    program.wait_for_log("shutting-down");
    let mut waiting = pause_until_end(&program, terminated_at, timeout, || {
        (0..WAITING_CLIENTS).map(|number| connect_client(&program, number)).collect::<Vec<_>>()
    });
    for (number, client) in waiting.iter_mut().enumerate() {
        expect_rejection(client, &format!("{what}, timeout {timeout} ms, client {number}"));
    }
    assert!(program.wait().success());
}

/// Guards against a listener that is closed at the end of a shutdown over clients that wait at it.
#[test]
fn clients_in_the_backlog_when_the_time_of_a_shutdown_is_over_are_rejected() {
    for timeout in [1, 450, 1500] {
        expect_backlog_is_answered(start(&config_with_timeout(timeout)), timeout, "no fault");
    }
}

/// Guards against the same at the listeners of several workers.
#[test]
fn clients_in_the_backlogs_of_several_workers_when_the_time_of_a_shutdown_is_over_are_rejected() {
    let timeout = 450;
    let settings = config_with_timeout(timeout);
    let program = BalancerProcess::start_with_operator(BINARY, &settings, "workers = 3");
    expect_backlog_is_answered(program, timeout, "three workers");
}

/// Guards against the same, while calls of accept(2) fail.
#[test]
fn clients_in_the_backlog_when_the_time_of_a_shutdown_is_over_are_rejected_though_accepts_fail() {
    for faults in ["accept=EINTR/2", "accept=ECONNABORTED/2", "accept=EMFILE%50"] {
        let program = start_with_faults(&config_with_timeout(450), faults);
        expect_backlog_is_answered(program, 450, faults);
    }
}

/// Guards against an end of the process over bytes of accepted clients that it has not read.
#[test]
fn clients_whose_bytes_are_unread_when_the_time_of_a_shutdown_is_over_are_answered() {
    let timeout = 450;
    let server = Server::new();
    let mut settings = config_with_timeout(timeout);
    settings["known"]["endpoints"] = serde_json::json!([endpoint("s-1", server.address(), "Ready")]);
    let mut program = start(&settings);
    let (mut established, _upstream) = program.establish(&server);
    let mut clients: Vec<_> = (0..WAITING_CLIENTS).map(|_| program.connect()).collect();
    program.sync();
    program.terminate();
    let terminated_at = Instant::now();
    program.wait_for_log("shutting-down");
    pause_until_end(&program, terminated_at, timeout, || {
        for (number, client) in clients.iter_mut().enumerate() {
            client.send_bytes(sent_bytes(number, &first_line(number)));
        }
        established.send_line("M 1");
    });
    for (number, client) in clients.iter_mut().enumerate() {
        expect_rejection(client, &format!("client {number}"));
    }
    assert_eq!((established.receive_line(), established.receive()), ("MOVE".into(), Received::Fin));
    assert!(program.wait().success());
}

/// Guards against a shutdown with short client timeouts that ends before established clients are migrated.
#[test]
fn established_clients_are_migrated_in_a_shutdown_whatever_the_client_timeout() {
    for timeout in [1, 50, 200, 450] {
        let server = Server::new();
        let mut settings = config_with_timeout(timeout);
        settings["known"]["endpoints"] = serde_json::json!([endpoint("s-1", server.address(), "Ready")]);
        let mut program = start(&settings);
        let mut connections: Vec<_> = (0..6).map(|_| program.establish(&server)).collect();
        program.terminate();
        let terminated_at = Instant::now();
        for (client, _) in &mut connections {
            assert_eq!(client.receive_line(), "MOVE", "timeout {timeout} ms");
            let moved_after = terminated_at.elapsed();
            assert!(moved_after >= DRAIN_TIME, "timeout {timeout} ms: migrated after {moved_after:?}");
            assert_eq!(client.receive(), Received::Fin, "timeout {timeout} ms");
        }
        drop(connections);
        assert!(program.wait().success());
        assert!(terminated_at.elapsed() < kill_time(timeout), "timeout {timeout} ms");
    }
}

/// Guards against a reload that moves the end of a shutdown past SIGKILL, which follows the settings at SIGTERM.
#[test]
fn a_reload_during_a_shutdown_does_not_move_its_end() {
    let timeout = 450;
    for reloaded_timeout in [1, 3200] {
        let mut program = start(&config_with_timeout(timeout));
        let mut half_written = program.connect();
        half_written.send_bytes(b"OPEN 1 ");
        program.sync();
        program.terminate();
        let terminated_at = Instant::now();
        program.wait_for_log("shutting-down");
        program.reconfigure(&config_with_timeout(reloaded_timeout).to_string());
        program.wait_for_log("event=reloaded");
        expect_rejection(&mut half_written, &format!("reloaded with {reloaded_timeout} ms"));
        // The client does not close, so the process runs until the time of its shutdown is over.
        assert!(program.wait().success());
        let ended_after = terminated_at.elapsed();
        assert!(
            ended_after >= DRAIN_TIME,
            "reloaded with {reloaded_timeout} ms: ended after {ended_after:?}"
        );
        assert!(
            ended_after < kill_time(timeout),
            "reloaded with {reloaded_timeout} ms: ended after {ended_after:?}"
        );
    }
}
