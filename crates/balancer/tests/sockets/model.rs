//! A model of a connection's states. Random steps are applied to the program and to the model, which predicts after
//! each step what client and server receive.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use shorewharf_emulator::standin::*;

use crate::start;

#[derive(Clone, Debug)]
enum Step {
    ServerSends(&'static str),
    ClientSends(usize),
    ServerFin,
    ServerReset,
    ClientFin,
    ClientReset,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Waiting,
    Open,
    Ended,
}

fn step() -> impl Strategy<Value = Step> {
    use Step::*;
    prop_oneof![
        4 => Just(ServerSends("UP 5")),
        1 => Just(ServerSends("BUSY")),
        1 => Just(ServerSends("ERR")),
        3 => Just(ServerSends("LOAD 90000.5")),
        3 => Just(ServerSends("M 1 2")),
        6 => (0..4000usize).prop_map(ClientSends),
        1 => Just(ServerFin),
        1 => Just(ServerReset),
        1 => Just(ClientFin),
        1 => Just(ClientReset),
    ]
}

/// Checks that a waiting client is rejected.
fn expect_rejection(client: &mut Connection) -> State {
    assert!(client.receive_line().starts_with("BUSY "), "a rejection with a retry-after");
    assert_eq!(client.receive(), Received::Fin);
    State::Ended
}

/// Applies the steps to one connection and checks it against the model.
fn check_steps(steps: &[Step]) {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    let (mut client, mut upstream) = (program.open(""), server.accept());
    upstream.receive_line();
    let mut state = State::Waiting;
    for step in steps {
        let open = state == State::Open;
        state = match step {
            Step::ServerSends(line) => {
                upstream.send_line(line);
                if !open && !line.starts_with("UP") {
                    // The only server did not accept the client, and gets no second attempt.
                    expect_rejection(&mut client)
                } else {
                    assert_eq!(client.receive_line(), *line);
                    State::Open
                }
            }
            Step::ClientSends(n) => {
                let line = "m".repeat(*n);
                client.send_line(&line);
                if !open {
                    // A client that sends a line before its answer gets an error.
                    assert_eq!(
                        (client.receive_line(), client.receive(), upstream.receive()),
                        ("ERR".into(), Received::Fin, Received::Fin)
                    );
                    return;
                }
                assert_eq!(upstream.receive_line(), line);
                state
            }
            Step::ServerFin | Step::ServerReset => {
                let reset = matches!(step, Step::ServerReset);
                let expected = if reset { Received::Reset } else { Received::Fin };
                if reset {
                    upstream.reset();
                } else {
                    drop(upstream);
                }
                if open {
                    assert_eq!(client.receive(), expected);
                } else {
                    expect_rejection(&mut client);
                }
                return;
            }
            Step::ClientFin | Step::ClientReset => {
                let reset = open && matches!(step, Step::ClientReset);
                if matches!(step, Step::ClientReset) {
                    client.reset();
                } else {
                    drop(client);
                }
                assert_eq!(upstream.receive(), if reset { Received::Reset } else { Received::Fin });
                return;
            }
        };
        if state == State::Ended {
            break;
        }
    }
    assert!(!server.has_pending_connection(), "a second attempt at the only server");
}

#[test]
fn a_connection_behaves_as_the_model_predicts() {
    let config = Config { cases: 64, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let steps = proptest::collection::vec(step(), 1..16);
    let run = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        check_steps(&steps);
        Ok(())
    });
    run.expect("the model holds");
}
