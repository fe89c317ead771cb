//! Tests of the module that these stand beside.

use super::*;
use crate::net::turn::tests::{READ, turn, until};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

const ID: RequestId = RequestId(7);
const SERVER: ServerId = ServerId(1);

fn begin(fetches: &mut Fetches, turn: &mut Turn, patience: Micros) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    fetches.begin(turn, ID, (SERVER, at), patience, 250_000).expect("begun");
    listener.accept().expect("the fetch").0
}

/// What the timers that have come by then make of the fetch.
fn late(fetches: &mut Fetches, turn: &mut Turn, now: Micros) -> Vec<Outcome> {
    turn.ends(now);
    turn.begin(now);
    let due: Vec<_> = std::iter::from_fn(|| turn.timers.due()).collect();
    assert!(due.iter().all(|due| *due == Due::Fetch(ID)), "{due:?}");
    due.iter().filter_map(|_| fetches.alarmed(turn, ID)).collect()
}

#[test]
fn a_timer_ends_only_the_fetch_that_it_was_set_for() {
    let (mut turn, mut fetches) = (turn(1_000_000), Fetches::default());
    let _old = begin(&mut fetches, &mut turn, 700_000);
    assert!(fetches.end(&mut turn, ID) && !fetches.end(&mut turn, ID) && !fetches.any_at(SERVER));
    turn.begin(1_100_000);
    let _new = begin(&mut fetches, &mut turn, 700_000);
    assert_eq!(late(&mut fetches, &mut turn, 1_349_000), []);
    assert_eq!(late(&mut fetches, &mut turn, 1_350_000), [Outcome::ConnectFailed]);
    fetches.get_mut(ID).expect("out").ask(1_350_000, &turn.pool, b"OPEN 1 2 d=9");
    fetches.arm(&mut turn, ID);
    assert_eq!(late(&mut fetches, &mut turn, 1_799_000), []);
    assert_eq!(late(&mut fetches, &mut turn, 1_800_000), [Outcome::TimedOut]);
    fetches.get_mut(ID).expect("out").stands(1_800_000, ID);
    fetches.arm(&mut turn, ID);
    assert_eq!(late(&mut fetches, &mut turn, 9_000_000), []);
}

#[test]
fn a_client_in_a_hurry_sets_no_limit_to_the_connect() {
    let (mut turn, mut fetches) = (turn(1_000_000), Fetches::default());
    let _server = begin(&mut fetches, &mut turn, 249_000);
    assert_eq!(late(&mut fetches, &mut turn, 2_000_000), [Outcome::NotSent]);
}

#[test]
fn a_server_lives_by_what_it_says_to_others() {
    let (mut turn, mut fetches) = (turn(1000), Fetches::default());
    let mut server = begin(&mut fetches, &mut turn, 700);
    let fetch = fetches.get_mut(ID).expect("out");
    fetch.link.ready(READ);
    fetch.ask(1000, &turn.pool, b"OPEN 1 2 c=chat,d=9");
    let mut line = [0; 21];
    server.read_exact(&mut line).expect("the first line");
    assert_eq!(&line, b"OPEN 1 2 c=chat,d=1\r\n");
    server.write_all(b"UP 7\r\nM 1\r\nLOAD 5.5\r\nBYE\r\n").expect("open");
    turn.begin(2000);
    let (mut asked, mut told) = (Some(1500), Vec::new());
    until(|| {
        fetch.link.ready(READ);
        fetch.answer(&turn.pool) == Some(Answer::Up)
    });
    fetch.stands(1600, ID);
    until(|| {
        fetch.link.ready(READ);
        assert_eq!(fetch.take_in(&turn, ID, &mut asked, &mut told).1, Ok(()));
        fetch.outcome() == Outcome::Ok // Its last word was BYE.
    });
    assert_eq!((asked, told, fetch.answered()), (None, vec![5.5], Some((2000, 500))));
    assert!(!fetches.server_lives(ID, 1700), "it has said nothing to others");
    fetches.get(ID).expect("out").voice.hears(2100, RequestId(8));
    assert!(fetches.server_lives(ID, 2099) && !fetches.server_lives(ID, 2100));
    assert!(fetches.server_lives(RequestId(7), 1700) && !fetches.server_lives(RequestId(8), 1700));
}
