//! Hand-over of established connections from one process to its successor, either of which may fail at a random step.
//! Afterwards each connection must belong to exactly one process, or be closed.

use std::io::{IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::os::fd::OwnedFd;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::time::Duration;

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, recvmsg};
use serde_json::{Value, json};
use shorewharf_emulator::standin::*;

use crate::operators::{wait_for_metric, with_operator_address};
use crate::upgrade::config_for_successor;
use crate::{BINARY, start};

/// Established connections in each round.
const CONNECTIONS: usize = 5;
/// The most time that a line takes, even on a busy machine.
const LINE_TIMEOUT: Duration = Duration::from_secs(5);

/// The state of a connection after a line was sent on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// Lines are relayed both ways, each once.
    Established,
    /// The client was told to reconnect.
    Migrated,
    /// The connection was closed.
    Closed,
}

/// Sends a line on a connection and, if it arrives, the same line back. Returns the state of the connection.
#[track_caller]
fn exchange_line(client: &mut Connection, server: &mut Connection, line: &str) -> Outcome {
    client.try_send_bytes(format!("{line}\r\n").as_bytes());
    assert!(server.has_input(LINE_TIMEOUT), "{line}: neither relayed nor closed");
    match server.receive() {
        Received::Line(relayed) => {
            assert_eq!(relayed, line, "a line was duplicated, or came from another connection");
            server.send_line(line);
            assert_eq!(client.receive(), Received::Line(line.to_owned()));
            Outcome::Established
        }
        _ => match client.receive() {
            Received::Line(answer) => {
                assert_eq!(answer, "MOVE");
                Outcome::Migrated
            }
            _ => Outcome::Closed,
        },
    }
}

/// A stub of a successor: it connects to the old process, reports that it serves, and is then controlled by the test.
pub struct SuccessorStub {
    stream: UnixStream,
    /// All descriptors received.
    descriptors: Vec<OwnedFd>,
    /// Bytes received after the last line read.
    input: Vec<u8>,
}

impl SuccessorStub {
    /// Connects to the old process and reads its state, the first line.
    pub fn connect(old: &BalancerProcess) -> Self {
        let folder = format!("shorewharf-{}", old.address().to_string().replace(':', "-"));
        let socket = old.shared_folder().join(folder).join("process");
        let stream = UnixStream::connect(socket).expect("the old process listens");
        stream.set_read_timeout(Some(LINE_TIMEOUT)).expect("a read timeout");
        let mut successor = SuccessorStub { stream, descriptors: Vec::new(), input: Vec::new() };
        successor.read_line();
        successor
    }

    /// Sends bytes; false if the old process has closed the connection.
    pub fn send(&mut self, bytes: &str) -> bool {
        self.stream.write_all(bytes.as_bytes()).is_ok()
    }

    /// Reads the next line, and the descriptors that come with it.
    pub fn read_line(&mut self) -> String {
        loop {
            if let Some(end) = self.input.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.input.drain(..=end).collect();
                return String::from_utf8_lossy(&line).trim_end().to_owned();
            }
            let mut bytes = [0; 4096];
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(16))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let into = &mut [IoSliceMut::new(&mut bytes)];
            let received =
                recvmsg(&self.stream, into, &mut control, RecvFlags::CMSG_CLOEXEC).expect("a line in time");
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                    self.descriptors.extend(descriptors);
                }
            }
            assert!(received.bytes > 0, "the old process closed the connection");
            self.input.extend_from_slice(&bytes[..received.bytes]);
        }
    }

    /// Reads lines until this many connections have been transferred.
    pub fn read_connections(&mut self, count: usize) {
        let mut transferred = 0;
        while transferred < count {
            transferred += usize::from(self.read_line().starts_with("STANDS "));
        }
    }
}

/// A configuration with a client timeout of one second, so that a graceful shutdown is short.
fn config_with_short_timeout(node: &Server) -> Value {
    let mut settings = with_operator_address(config(&[("s-1", node.address())]));
    settings["settings"]["classes"][0]["give_up_s"] = json!(1.0);
    settings
}

/// One hand-over with a fault. The fault, and the step at which it occurs, are drawn from the seed.
#[expect(
    clippy::cognitive_complexity,
    clippy::too_many_lines,
    reason = "one sequence of steps for each fault"
)]
fn hand_over_with_fault(seed: u64) {
    let mut draws = Pcg64Mcg::seed_from_u64(seed);
    let mut draw = |n: u64| (draws.next_u64() % n) as usize;
    let (fault, step, pause) = (draw(8), draw(CONNECTIONS as u64 + 1), draw(40) as u64);
    let scenario = format!("seed {seed}: fault {fault}, step {step}, pause {pause} ms");
    let node = Server::new();
    let settings = config_with_short_timeout(&node);
    let mut old = start(&settings);
    let mut pairs: Vec<_> = (0..CONNECTIONS).map(|_| old.establish(&node)).collect();
    for (n, (client, server)) in pairs.iter_mut().enumerate() {
        assert_eq!(exchange_line(client, server, &format!("M {n}")), Outcome::Established, "{scenario}");
    }
    // On one of them half a line has been sent in each direction.
    pairs[0].0.send_bytes(b"M x");
    pairs[0].1.send_bytes(b"M y");
    old.sync();
    let mut outcomes = |tag: &str| -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        for (n, (client, server)) in pairs.iter_mut().enumerate() {
            if n > 0 {
                outcomes.push(exchange_line(client, server, &format!("M {tag}{n}")));
                continue;
            }
            // The other half of the line.
            client.try_send_bytes(b"x\r\n");
            server.try_send_bytes(b"y\r\n");
            assert!(server.has_input(LINE_TIMEOUT) && client.has_input(LINE_TIMEOUT), "{scenario}");
            outcomes.push(match (server.receive(), client.receive()) {
                (Received::Line(x), Received::Line(y)) if x == "M xx" && y == "M yy" => Outcome::Established,
                (Received::Line(x), other) => panic!("{scenario}: {x} and {other:?}"),
                (_, Received::Line(y)) if y == "MOVE" => Outcome::Migrated,
                // The client has received half a line, so no `MOVE` may follow.
                _ => Outcome::Closed,
            });
        }
        outcomes
    };
    match fault {
        // Two real processes: neither is killed (0), or the new one (1) or the old one (2) is killed after the pause.
        0..=2 => {
            let new = old.start_sibling(BINARY, &config_for_successor(&settings, &old));
            old.terminate();
            if fault == 0 {
                assert!(old.wait().success(), "{scenario}");
                assert_eq!(outcomes("a"), [Outcome::Established; CONNECTIONS], "{scenario}");
                assert_eq!(new.metric("concurrent"), CONNECTIONS as u64, "{scenario}");
                return new.establish_with_id(&node, "77").0.shutdown_write();
            }
            std::thread::sleep(Duration::from_micros(pause * 250));
            if fault == 1 {
                new.kill();
                // The old process has migrated the clients that it still had; the others were closed when the new one
                // ended.
                assert!(old.wait().success(), "{scenario}");
                let outcomes = outcomes("b");
                assert!(!outcomes.contains(&Outcome::Established), "{scenario}: {outcomes:?}");
            } else {
                old.kill();
                let outcomes = outcomes("c");
                let established = outcomes.iter().filter(|outcome| **outcome == Outcome::Established).count();
                assert!(!outcomes.contains(&Outcome::Migrated), "{scenario}: {outcomes:?}");
                wait_for_metric(&new, "concurrent", established as u64);
                new.establish_with_id(&node, "77");
            }
        }
        // A successor that ends before it has taken all connections, without (3) or with (4) a confirmation of some.
        3 | 4 => {
            let mut successor = SuccessorStub::connect(&old);
            assert!(successor.send("TAKES 2\nSERVES\n"));
            old.sync();
            old.terminate();
            successor.read_connections(step);
            let confirmed = if fault == 4 { draw(step as u64 + 1) } else { 0 };
            if confirmed > 0 {
                assert!(successor.send(&format!("TOOK {confirmed}\n")));
            }
            drop(successor);
            assert!(old.wait().success(), "{scenario}");
            let outcomes = outcomes("d");
            let closed = outcomes.iter().filter(|outcome| **outcome == Outcome::Closed).count();
            // The connection in the middle of a line cannot be migrated.
            assert!(
                closed >= confirmed && closed <= confirmed + 1 && !outcomes.contains(&Outcome::Established),
                "{scenario}: {outcomes:?} of {confirmed}"
            );
        }
        // A successor that stalls, and goes on after the old process has taken the connections back.
        5 => {
            let mut successor = SuccessorStub::connect(&old);
            assert!(successor.send("TAKES 2\nSERVES\n"));
            old.sync();
            old.terminate();
            successor.read_connections(step.max(1));
            let confirmed = draw(step.max(1) as u64);
            assert!(confirmed == 0 || successor.send(&format!("TOOK {confirmed}\n")));
            assert!(
                old.wait_for_log("event=successor-stalled")
                    .contains(&format!("back={}", CONNECTIONS - confirmed)),
                "{scenario}"
            );
            assert!(
                !successor.send(&format!("TOOK {CONNECTIONS}\n")),
                "{scenario}: the old process still reads from the stalled successor"
            );
            while successor.read_line() != "KEEPS" {}
            assert!(old.wait().success(), "{scenario}");
            // The connections that it confirmed are still open in the stub, and the others it must not use: all its
            // descriptors are closed before the connections are checked.
            successor.descriptors.clear();
            let outcomes = outcomes("e");
            assert!(!outcomes.contains(&Outcome::Established), "{scenario}: {outcomes:?}");
            assert!(
                outcomes.iter().filter(|outcome| **outcome == Outcome::Migrated).count()
                    >= CONNECTIONS - confirmed - 1,
                "{scenario}: {outcomes:?}"
            );
        }
        // A successor that sends malformed messages, or disconnects, before the hand-over: it has no effect.
        6 => {
            let mut successor = SuccessorStub::connect(&old);
            successor.send(
                ["SERVES", "\u{0}\u{0}\n", &"x".repeat(200), "TOOK 99\nTAKES 2\nSERVES\n"]
                    [pause as usize % 4],
            );
            drop(successor);
            assert_eq!(outcomes("f"), [Outcome::Established; CONNECTIONS], "{scenario}");
            old.establish(&node);
            assert!(old.is_running(), "{scenario}");
        }
        // A successor that cannot take established connections: their clients are migrated.
        _ => {
            let mut successor = SuccessorStub::connect(&old);
            assert!(successor.send("SERVES\n"));
            old.sync();
            old.terminate();
            assert!(old.wait_for_log("event=shutting-down").contains("successor=true"), "{scenario}");
            assert!(old.wait().success(), "{scenario}");
            let outcomes = outcomes("g");
            assert!(
                !outcomes.contains(&Outcome::Established)
                    && outcomes[1..].iter().all(|f| *f == Outcome::Migrated),
                "{scenario}: {outcomes:?}"
            );
            let mut rest = String::new();
            let _ = successor.stream.read_to_string(&mut rest);
            assert!(!rest.contains("STANDS"), "{scenario}");
        }
    }
}

#[test]
fn connections_of_all_workers_are_transferred_and_distributed_again() {
    let node = Server::new();
    let settings = config_with_short_timeout(&node);
    let workers = "workers = 3\n";
    let mut old = BalancerProcess::start_with_operator(BINARY, &settings, workers);
    let mut pairs: Vec<_> = (0..30).map(|_| old.establish(&node)).collect();
    let new = old.start_sibling_with_operator(BINARY, &config_for_successor(&settings, &old), workers);
    old.terminate();
    assert!(old.wait().success());
    for (n, (client, server)) in pairs.iter_mut().enumerate() {
        assert_eq!(exchange_line(client, server, &format!("M {n}")), Outcome::Established, "connection {n}");
    }
    wait_for_metric(&new, "concurrent", 30);
    // The next hand-over, during which another successor is connected that never reports that it serves.
    let hung = SuccessorStub::connect(&new);
    let last = new.start_sibling_with_operator(BINARY, &config_for_successor(&settings, &new), workers);
    let mut new = new;
    new.terminate();
    assert!(new.wait().success());
    drop(hung);
    for (n, (client, server)) in pairs.iter_mut().enumerate() {
        assert_eq!(
            exchange_line(client, server, &format!("M again {n}")),
            Outcome::Established,
            "connection {n}"
        );
    }
    wait_for_metric(&last, "concurrent", 30);
}

#[test]
fn a_draining_server_a_reload_and_a_second_sigterm_during_a_handover_migrate_no_client_twice() {
    let (node, discovery) = (Server::new(), DiscoveryService::new());
    let mut settings = with_operator_address(config_with_discovery(&[("s-1", node.address())], &discovery));
    settings["settings"]["classes"][0]["give_up_s"] = json!(1.0);
    let mut old = start(&settings);
    let mut watch = discovery.accept_watch();
    let mut successor = SuccessorStub::connect(&old);
    let (mut client, mut server) = old.establish(&node);
    assert!(successor.send("TAKES 2\nSERVES\n"));
    old.sync();
    old.terminate();
    successor.read_connections(1);
    // While the connection is being transferred, nothing is read from it and its client is not migrated.
    watch.send_list(50, false, vec![endpoint("s-1", node.address(), "Terminating")]);
    client.send_bytes(b"M 1\r\n");
    old.reconfigure(&settings.to_string());
    old.terminate();
    assert!(!server.has_input(Duration::from_millis(100)) && !client.has_input(Duration::from_millis(1)));
    drop(successor);
    // The old process takes the connection back, reads the line only now, relays it, and migrates the client.
    assert_eq!(server.receive_line(), "M 1");
    server.try_send_bytes(b"M 1\r\n");
    let received = (client.receive(), client.receive());
    let line = |text: &str| Received::Line(text.into());
    assert!(received == (line("M 1"), line("MOVE")) || received.0 == line("MOVE"), "{received:?}");
    assert!(old.wait().success());
}

/// A hand-over without an operators' address and without a common folder: the same command is run each time.
#[test]
fn the_same_command_replaces_the_process_and_a_refused_one_changes_nothing() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let socket = folder.path().join("shorewharf");
    let notify = std::os::unix::net::UnixDatagram::bind(folder.path().join("notify")).expect("a socket");
    notify.set_read_timeout(Some(LIMIT)).expect("a read timeout");
    let expect_ready = |id: u32| {
        let mut bytes = [0; 64];
        let n = notify.recv(&mut bytes).expect("a notification of readiness");
        assert_eq!(String::from_utf8_lossy(&bytes[..n]), format!("READY=1\nMAINPID={id}\n"));
    };
    let notify_at = folder.path().join("notify");
    let env = [("SHOREWHARF_TAKE_OVER", socket.as_os_str()), ("NOTIFY_SOCKET", notify_at.as_os_str())];
    let node = Server::new();
    let mut settings = config_with_short_timeout(&node);
    settings.as_object_mut().expect("an object").remove("operator");
    let mut old = BalancerProcess::start_with_env(BINARY, &settings, &env);
    expect_ready(old.pid());
    let (mut client, mut server) = old.establish(&node);
    let same = config_for_successor(&settings, &old);
    // Another address belongs to another balancer, so there is nothing to take over.
    let (code, log) = run_to_exit_with_env(BINARY, &settings, &env);
    assert!(code == Some(1) && log.contains("cannot take over from"), "{code:?} {log}");
    assert_eq!(exchange_line(&mut client, &mut server, "M 1"), Outcome::Established);
    for n in 0..2 {
        let new = BalancerProcess::start_with_env(BINARY, &same, &env);
        expect_ready(new.pid());
        // The test has sent no SIGTERM: the new process has told the old one to end.
        assert!(old.wait().success());
        assert_eq!(exchange_line(&mut client, &mut server, &format!("M again {n}")), Outcome::Established);
        old = new;
    }
    old.establish_with_id(&node, "77");
    let mode = std::fs::metadata(&socket).expect("the socket exists").permissions().mode();
    assert_eq!(mode & 0o777, 0o600, "only the owner may use the socket");
}

/// Runs the rounds of these seeds on eight threads.
fn run_rounds(seeds: std::ops::Range<u64>) {
    std::thread::scope(|s| {
        for thread in 0..8 {
            let seeds = seeds.clone();
            s.spawn(move || seeds.filter(|seed| seed % 8 == thread).for_each(hand_over_with_fault));
        }
    });
}

#[test]
fn every_connection_has_one_owner_or_is_closed_after_a_fault_at_any_step() {
    run_rounds(0..40);
}

/// `cargo test -p shorewharf --test sockets -- --ignored two_hundred`
#[test]
#[ignore = "takes about a minute"]
fn two_hundred_handovers_with_a_fault() {
    run_rounds(1000..1200);
}
