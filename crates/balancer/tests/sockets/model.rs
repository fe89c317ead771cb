//! A model of a connection's states. Random steps go to the program and to the model, which says after
//! each step what client and server must have heard.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use shorewharf_emulator::standin::*;

use crate::start;

#[derive(Clone, Debug)]
enum Step {
    ServerSays(&'static str),
    ClientSays(usize),
    ServerFin,
    ServerReset,
    ClientFin,
    ClientReset,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Waiting,
    Open,
    Over,
}

fn step() -> impl Strategy<Value = Step> {
    use Step::*;
    prop_oneof![
        4 => Just(ServerSays("UP 5")),
        1 => Just(ServerSays("BUSY")),
        1 => Just(ServerSays("ERR")),
        3 => Just(ServerSays("LOAD 90000.5")),
        3 => Just(ServerSays("M 1 2")),
        6 => (0..4000usize).prop_map(ClientSays),
        1 => Just(ServerFin),
        1 => Just(ServerReset),
        1 => Just(ClientFin),
        1 => Just(ClientReset),
    ]
}

fn refused(client: &mut Peer) -> State {
    assert!(client.line().starts_with("BUSY "), "a refusal with a wait");
    assert_eq!(client.hear(), Heard::Fin);
    State::Over
}

/// Lets one connection live through the steps.
fn live(steps: &[Step]) {
    let server = Node::new();
    let program = start(&config(&[("s-1", server.address())]));
    let (mut client, mut s) = (program.open(""), server.accept());
    s.line();
    let mut state = State::Waiting;
    for step in steps {
        let open = state == State::Open;
        state = match step {
            Step::ServerSays(words) => {
                s.say(words);
                if !open && !words.starts_with("UP") {
                    // No server has taken the client, and the only one has had its attempt.
                    refused(&mut client)
                } else {
                    assert_eq!(client.line(), *words);
                    State::Open
                }
            }
            Step::ClientSays(n) => {
                let line = "m".repeat(*n);
                client.say(&line);
                if !open {
                    // A client that speaks before its answer has lost it.
                    assert_eq!(
                        (client.line(), client.hear(), s.hear()),
                        ("ERR".into(), Heard::Fin, Heard::Fin)
                    );
                    return;
                }
                assert_eq!(s.line(), line);
                state
            }
            Step::ServerFin | Step::ServerReset => {
                let reset = matches!(step, Step::ServerReset);
                let ends = if reset { Heard::Reset } else { Heard::Fin };
                if reset {
                    s.reset();
                } else {
                    drop(s);
                }
                if open {
                    assert_eq!(client.hear(), ends);
                } else {
                    refused(&mut client);
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
                assert_eq!(s.hear(), if reset { Heard::Reset } else { Heard::Fin });
                return;
            }
        };
        if state == State::Over {
            break;
        }
    }
    assert!(!server.is_called(), "a second attempt went to a server that had its chance");
}

#[test]
fn a_connection_lives_as_the_model_says() {
    let config = Config { cases: 64, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let steps = proptest::collection::vec(step(), 1..16);
    let run = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        live(&steps);
        Ok(())
    });
    run.expect("the model holds");
}
