//! Invariants of the operators' metrics after random sequences of clients.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use shorewharf_emulator::standin::*;

use crate::operators::{wait_for_metric, with_operator_address};
use crate::start;

/// What one client does, and how its connection ends.
#[derive(Clone, Copy, Debug)]
enum Client {
    /// Sends nothing and disconnects.
    Silent,
    /// Sends an incomplete line and disconnects.
    Incomplete,
    /// Pings, as a front end does.
    Ping,
    /// Names a class that does not exist.
    UnknownClass,
    /// Names a valid class in a malformed line.
    Malformed,
    /// Disconnects before its answer.
    Disconnects,
    /// Gets this answer from the server; an established connection is then ended by one side.
    Answered(&'static str, End),
}

#[derive(Clone, Copy, Debug)]
enum End {
    ClientFin,
    ClientReset,
    ServerFin,
    ServerReset,
}

fn client() -> impl Strategy<Value = Client> {
    use Client::*;
    let end = prop_oneof![
        Just(End::ClientFin),
        Just(End::ClientReset),
        Just(End::ServerFin),
        Just(End::ServerReset)
    ];
    let answer = prop_oneof![4 => Just("UP 1"), 1 => Just("BUSY"), 1 => Just("ERR"), 1 => Just("BYE"), 1 => Just("what")];
    prop_oneof![
        1 => Just(Silent),
        1 => Just(Incomplete),
        1 => Just(Ping),
        1 => Just(UnknownClass),
        2 => Just(Malformed),
        2 => Just(Disconnects),
        8 => (answer, end).prop_map(|(answer, end)| Answered(answer, end)),
    ]
}

/// Runs one client. Returns 1 if it named a class and 0 otherwise, and the number of first lines that the server got.
fn run_client(program: &BalancerProcess, server: &Server, client: Client) -> (u64, u64) {
    match client {
        Client::Silent => drop(program.connect()),
        Client::Incomplete => program.connect().send_bytes(b"OPEN 1 2 c=ch"),
        Client::Ping => {
            program.sync();
        }
        Client::UnknownClass => {
            let mut client = program.connect();
            client.send_line("OPEN 1 2 c=none,t=acme");
            assert_eq!(client.receive_line(), "ERR");
        }
        Client::Malformed => {
            let mut client = program.connect();
            client.send_line("OPEN 1 2 c=chat,t=acme,d=soon");
            assert_eq!(client.receive_line(), "ERR");
            return (1, 0);
        }
        Client::Disconnects | Client::Answered(..) => return (1, run_request(program, server, client)),
    }
    (0, 0)
}

/// Runs a client that sends a valid request. Returns the number of first lines that the server got: 0 if the client is
/// rejected because no server is available.
fn run_request(program: &BalancerProcess, server: &Server, client: Client) -> u64 {
    let mut requester = program.open("");
    let mut attempt = loop {
        let Ok(mut attempt) = server.accept_or_receive(&mut requester) else { return 0 };
        match attempt.receive() {
            Received::Line(line) if line.starts_with("OPEN ") => break attempt,
            // The server is quarantined after an earlier client, and gets a probe.
            Received::Line(line) if line == "PING" => drop(attempt.try_send_bytes(b"PONG\r\n")),
            // An attempt that is cancelled while it connects sends nothing.
            _ => {}
        }
    };
    let Client::Answered(answer, end) = client else { return 1 };
    attempt.send_line(answer);
    let received = requester.receive();
    if matches!(&received, Received::Line(line) if line.starts_with("UP")) {
        match end {
            End::ClientFin => requester.shutdown_write(),
            End::ClientReset => requester.reset(),
            End::ServerFin => attempt.shutdown_write(),
            End::ServerReset => attempt.reset(),
        }
    }
    1
}

/// Runs the clients one after the other and checks the metrics.
fn run_clients(clients: &[Client]) {
    let server = Server::new();
    let program = start(&with_operator_address(config(&[("s-1", server.address())])));
    let (mut named, mut sent) = (0, 0);
    for client in clients {
        let (has_class, first_lines) = run_client(&program, &server, *client);
        (named, sent) = (named + has_class, sent + first_lines);
        // Each connection ends before the next client, so that the server does not mix up attempts of two clients.
        wait_for_metric(&program, "concurrent", 0);
    }
    let replies = ["success", "overload", "error"].map(|r| program.metric(&format!("replies.chat.{r}")));
    assert_eq!(replies.iter().sum::<u64>(), named, "each request is counted once: {replies:?}");
    assert_eq!(program.metric("dispatches"), sent);
    assert_eq!((program.metric("targets"), program.metric("concurrent")), (1, 0));
    assert!(program.metric("targets_disabled") <= 1);
}

#[test]
fn every_connection_is_counted_exactly_once_however_it_ends() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let config = Config { cases: 6, max_shrink_iters: 0, failure_persistence: None, ..Config::default() };
    let sequences = proptest::collection::vec(client(), 1..14);
    let result = TestRunner::new_with_rng(config, rng).run(&sequences, |clients| {
        run_clients(&clients);
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("{e}"));
}
