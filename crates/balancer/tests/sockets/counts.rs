//! Invariants of the figures that operators read, after random days.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use shorewharf_emulator::standin::*;

use crate::operators::{wait_for_metric, with_operator_address};
use crate::start;

/// What one client does, and what becomes of it.
#[derive(Clone, Copy, Debug)]
enum Client {
    /// Nothing, and leaves.
    Mute,
    /// Half a line, and leaves.
    Half,
    /// Pings, as a front.
    Front,
    /// Names no class that there is.
    Unknown,
    /// Names its class in a line that can't be used.
    Bad,
    /// Leaves before its answer.
    Leaves,
    /// Its server says this, and then one side ends it.
    Hears(&'static str, End),
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
    let word = prop_oneof![4 => Just("UP 1"), 1 => Just("BUSY"), 1 => Just("ERR"), 1 => Just("BYE"), 1 => Just("what")];
    prop_oneof![
        1 => Just(Mute),
        1 => Just(Half),
        1 => Just(Front),
        1 => Just(Unknown),
        2 => Just(Bad),
        2 => Just(Leaves),
        8 => (word, end).prop_map(|(word, end)| Hears(word, end)),
    ]
}

/// Plays one client; whether it named a class, and how many first lines servers got.
fn play(program: &Program, server: &Node, client: Client) -> (u64, u64) {
    match client {
        Client::Mute => drop(program.client()),
        Client::Half => program.client().put(b"OPEN 1 2 c=ch"),
        Client::Front => {
            program.settled();
        }
        Client::Unknown => {
            let mut client = program.client();
            client.say("OPEN 1 2 c=none,t=acme");
            assert_eq!(client.line(), "ERR");
        }
        Client::Bad => {
            let mut client = program.client();
            client.say("OPEN 1 2 c=chat,t=acme,d=soon");
            assert_eq!(client.line(), "ERR");
            return (1, 0);
        }
        Client::Leaves | Client::Hears(..) => return (1, asks(program, server, client)),
    }
    (0, 0)
}

/// Plays one that asks: the server has it, unless the module sees no server in service.
fn asks(program: &Program, server: &Node, client: Client) -> u64 {
    let mut asking = program.open("");
    let mut at = loop {
        let Ok(mut at) = server.accept_or_hear(&mut asking) else { return 0 };
        match at.hear() {
            Heard::Line(line) if line.starts_with("OPEN ") => break at,
            // The server was locked for what it did before, and is looked at.
            Heard::Line(line) if line == "PING" => drop(at.try_put(b"PONG\r\n")),
            // A attempt that is called off while it connects says nothing.
            _ => {}
        }
    };
    let Client::Hears(word, end) = client else { return 1 };
    at.say(word);
    let heard = asking.hear();
    if matches!(&heard, Heard::Line(line) if line.starts_with("UP")) {
        match end {
            End::ClientFin => asking.finish(),
            End::ClientReset => asking.reset(),
            End::ServerFin => at.finish(),
            End::ServerReset => at.reset(),
        }
    }
    1
}

fn day(clients: &[Client]) {
    let server = Node::new();
    let program = start(&with_operator_address(config(&[("s-1", server.address())])));
    let (mut named, mut sent) = (0, 0);
    for client in clients {
        let (one, lines) = play(&program, &server, *client);
        (named, sent) = (named + one, sent + lines);
        // Each has its end before the next: what a server hears of one is not taken for another's.
        wait_for_metric(&program, "concurrent", 0);
    }
    let replies = ["success", "overload", "error"].map(|r| program.figure(&format!("replies.chat.{r}")));
    assert_eq!(replies.iter().sum::<u64>(), named, "each counts once: {replies:?}");
    assert_eq!(program.figure("dispatches"), sent);
    assert_eq!((program.figure("targets"), program.figure("concurrent")), (1, 0));
    assert!(program.figure("targets_disabled") <= 1);
}

#[test]
fn every_connection_ends_under_one_count_whatever_becomes_of_it() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let config = Config { cases: 6, max_shrink_iters: 0, failure_persistence: None, ..Config::default() };
    let days = proptest::collection::vec(client(), 1..14);
    let ran = TestRunner::new_with_rng(config, rng).run(&days, |clients| {
        day(&clients);
        Ok(())
    });
    ran.unwrap_or_else(|e| panic!("{e}"));
}
