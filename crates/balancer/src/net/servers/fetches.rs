//! Fetches: attempts at servers, and the standing connections that they become.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use shorewharf_decisions::interface::{Outcome, RequestId, ServerId};
use shorewharf_driver::Micros;
use shorewharf_protocol::open::with_patience;
use shorewharf_protocol::words::{Word, word};

use crate::net::link::{End, Link, TooLong, is_shortage};
use crate::net::poll::Owner;
use crate::net::pool::Pool;
use crate::net::turn::{Due, Turn};

/// How far a fetch has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its connection is not up yet.
    Connecting,
    /// The first line is out, or on its way; the answer is awaited.
    Asked,
    /// The server has taken the client.
    Up,
}

/// What a server said last, which tells how its end is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastWord {
    Bye,
    Move,
    Other,
}

/// What a server answers to a first line.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// It has taken the client.
    Up,
    /// The attempt is over.
    Over(Outcome),
    /// It said something that the protocol has no meaning for; the beginning of that.
    Odd(String),
    /// It said a line over the limit.
    TooLong,
}

/// Why a fetch could not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hindrance {
    /// Descriptors have run out.
    Shortage,
    /// The loop takes no more connections.
    Unwatched,
    /// The connect failed at once.
    Refused,
}

/// A fetch: one attempt at a server, and the standing connection that it becomes.
#[derive(Debug)]
pub struct Fetch {
    /// The connection itself.
    pub link: Link,
    server: ServerId,
    number: u64,
    stage: Stage,
    until: Micros,
    last: LastWord,
    /// When the server last said anything here.
    heard: Micros,
    /// When it last answered a line of the client's, and how long that took.
    answered: Option<(Micros, Micros)>,
}

impl Fetch {
    /// The server that it goes to.
    pub fn server(&self) -> ServerId {
        self.server
    }

    /// How far it has come.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// When a line of the client's was answered last, and how long that took.
    pub fn answered(&self) -> Option<(Micros, Micros)> {
        self.answered
    }

    /// Writes the first line on a connection that has come up, with what is left of the time as its `d`.
    pub fn ask(&mut self, now: Micros, pool: &Pool, line: &[u8]) {
        self.stage = Stage::Asked;
        self.link.say(pool, &with_patience(line, self.until.saturating_sub(now)));
    }

    /// Reads on for the server's answer; none as long as there is none.
    pub fn answer(&mut self, pool: &Pool) -> Option<Answer> {
        let sent = self.link.flush();
        self.link.fill(pool);
        let ended = self.link.ended;
        Some(match self.link.look().map(|line| line.map(word)) {
            Ok(Some(Word::Up(_))) => Answer::Up,
            Ok(Some(Word::Busy(_))) => Answer::Over(Outcome::Full),
            Ok(Some(Word::Move)) => Answer::Over(Outcome::Cancelled),
            Ok(Some(Word::Bye)) => Answer::Over(Outcome::Ok),
            Ok(Some(Word::Err)) => Answer::Over(Outcome::Error),
            Ok(Some(other)) => {
                let line = other.to_string();
                let line = line.trim_end().as_bytes();
                Answer::Odd(String::from_utf8_lossy(&line[..line.len().min(80)]).into_owned())
            }
            Err(TooLong) => Answer::TooLong,
            Ok(None) if ended.is_none() => return None,
            // Broken before the line's last byte was written: it has never run.
            Ok(None) if !sent => Answer::Over(Outcome::ConnectFailed),
            Ok(None) => Answer::Over(Outcome::Reset),
        })
    }

    /// The server has taken the client.
    pub fn stands(&mut self, now: Micros) {
        (self.stage, self.heard) = (Stage::Up, now);
    }

    /// Takes in the lines that have come from a server on a standing connection. Each is carried on as it
    /// is; the figures of its `LOAD` lines go to `told`. A line unanswered since `asked` is answered by any other
    /// one. Tells whether anything came, and whether a line is over the limit.
    pub fn take_in(
        &mut self,
        now: Micros,
        pool: &Pool,
        asked: &mut Option<Micros>,
        told: &mut Vec<f64>,
    ) -> (bool, Result<(), TooLong>) {
        let came = self.link.fill(pool);
        let looked = self.look(now, asked, told);
        if self.link.ended == Some(End::Fin) {
            self.link.look_at_rest();
        }
        (came, looked)
    }

    fn look(&mut self, now: Micros, asked: &mut Option<Micros>, told: &mut Vec<f64>) -> Result<(), TooLong> {
        while let Some(line) = self.link.look()? {
            self.heard = now;
            self.last = LastWord::Other;
            match word(line) {
                Word::Bye => self.last = LastWord::Bye,
                Word::Move => self.last = LastWord::Move,
                Word::Load(load) => told.extend(load),
                // The time from a client's line to the server's answer is what a message takes there.
                _ => self.answered = asked.take().map(|at| (now, now - at)).or(self.answered),
            }
        }
        Ok(())
    }

    /// How the end of a standing connection counts.
    pub fn outcome(&self) -> Outcome {
        match self.last {
            LastWord::Bye => Outcome::Ok,
            LastWord::Move => Outcome::Cancelled,
            LastWord::Other => Outcome::Reset,
        }
    }
}

/// The table of fetches, by req: a req has one at most. Each has a number, so that a timer of one that is over
/// does not end the next.
#[derive(Debug, Default)]
pub struct Fetches {
    table: BTreeMap<RequestId, Fetch>,
    begun: u64,
}

impl Fetches {
    /// Begins a fetch, which may take as long as `patience`; none may be out for this req.
    pub fn begin(
        &mut self,
        turn: &mut Turn,
        id: RequestId,
        (server, address): (ServerId, SocketAddr),
        patience: Micros,
        connect_timeout: Micros,
    ) -> Result<(), Hindrance> {
        let mut link = Link::connect(address).map_err(|e| match is_shortage(&e) {
            true => Hindrance::Shortage,
            false => Hindrance::Refused,
        })?;
        if !turn.poller.watch(&mut link, Owner::Fetch(id)) {
            return Err(Hindrance::Unwatched);
        }
        self.begun += 1;
        let (number, until) = (self.begun, turn.now + patience);
        let (stage, last) = (Stage::Connecting, LastWord::Other);
        let (heard, answered) = (0, None);
        self.table.insert(id, Fetch { link, server, number, stage, until, last, heard, answered });
        // A client that leaves less time than a connect may take must not get its server locked.
        if connect_timeout <= patience {
            turn.after(connect_timeout, Due::Connect(id, number));
        }
        turn.after(patience, Due::Patience(id, number));
        Ok(())
    }

    /// A req's fetch.
    pub fn get(&self, id: RequestId) -> Option<&Fetch> {
        self.table.get(&id)
    }

    /// A req's fetch, to act on.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Fetch> {
        self.table.get_mut(&id)
    }

    /// Whether a fetch is out, or stands, for a req.
    pub fn has(&self, id: RequestId) -> bool {
        self.table.contains_key(&id)
    }

    /// The server that a req's fetch goes to.
    pub fn server(&self, id: RequestId) -> Option<ServerId> {
        self.table.get(&id).map(|f| f.server)
    }

    /// Ends a req's fetch; false where there is none.
    pub fn end(&mut self, turn: &Turn, id: RequestId) -> bool {
        self.table.remove(&id).map(|f| turn.poller.close(f.link)).is_some()
    }

    /// How the fetch of this number ends that should be connected by now.
    pub fn connect_due(&self, id: RequestId, number: u64) -> Option<Outcome> {
        let fetch = self.table.get(&id).filter(|f| f.number == number)?;
        (fetch.stage == Stage::Connecting).then_some(Outcome::ConnectFailed)
    }

    /// How the fetch of this number ends that should be answered by now.
    pub fn patience_due(&self, id: RequestId, number: u64) -> Option<Outcome> {
        match self.table.get(&id).filter(|f| f.number == number)?.stage {
            Stage::Connecting => Some(Outcome::NotSent),
            Stage::Asked => Some(Outcome::TimedOut),
            Stage::Up => None,
        }
    }

    /// Whether the server of this req's fetch has said anything to another one since then.
    pub fn server_lives(&self, id: RequestId, since: Micros) -> bool {
        let Some(server) = self.server(id) else { return false };
        self.table.iter().any(|(other, f)| *other != id && f.server == server && f.heard > since)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether a server has any.
    pub fn any_at(&self, server: ServerId) -> bool {
        self.table.values().any(|f| f.server == server)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::turn::tests::{turn, until};
    use std::io::{Read, Write};
    use std::net::{TcpListener, TcpStream};

    const ID: RequestId = RequestId(7);
    const SERVER: ServerId = ServerId(1);

    fn begin(fetches: &mut Fetches, turn: &mut Turn, patience: Micros) -> TcpStream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("bound");
        fetches.begin(turn, ID, (SERVER, at), patience, 250).expect("begun");
        listener.accept().expect("the fetch").0
    }

    #[test]
    fn a_timer_ends_only_the_fetch_that_it_was_set_for() {
        let (mut turn, mut fetches) = (turn(1000), Fetches::default());
        let _old = begin(&mut fetches, &mut turn, 700);
        assert!(fetches.end(&turn, ID) && !fetches.end(&turn, ID));
        let _new = begin(&mut fetches, &mut turn, 700);
        let due: Vec<_> = std::iter::from_fn(|| turn.timers.due(2000)).collect();
        assert_eq!(due[..2], [Due::Connect(ID, 1), Due::Connect(ID, 2)]);
        assert_eq!((fetches.connect_due(ID, 1), fetches.patience_due(ID, 1)), (None, None));
        assert_eq!(fetches.connect_due(ID, 2), Some(Outcome::ConnectFailed));
        // What was never written has never run; what was may have.
        assert_eq!(fetches.patience_due(ID, 2), Some(Outcome::NotSent));
        fetches.get_mut(ID).expect("out").ask(1000, &turn.pool, b"OPEN 1 2 d=9");
        assert_eq!(
            (fetches.connect_due(ID, 2), fetches.patience_due(ID, 2)),
            (None, Some(Outcome::TimedOut))
        );
        fetches.get_mut(ID).expect("out").stands(1100);
        assert_eq!(fetches.patience_due(ID, 2), None);
    }

    #[test]
    fn a_client_in_a_hurry_sets_no_limit_to_the_connect() {
        let (mut turn, mut fetches) = (turn(1000), Fetches::default());
        let _server = begin(&mut fetches, &mut turn, 249);
        assert_eq!((turn.timers.due(2000), turn.timers.due(2000)), (Some(Due::Patience(ID, 1)), None));
    }

    #[test]
    fn a_server_lives_by_what_it_says_to_others() {
        let (mut turn, mut fetches) = (turn(1000), Fetches::default());
        let mut server = begin(&mut fetches, &mut turn, 700);
        let fetch = fetches.get_mut(ID).expect("out");
        fetch.ask(1000, &turn.pool, b"OPEN 1 2 c=chat,d=9");
        let mut line = [0; 21];
        server.read_exact(&mut line).expect("the first line");
        assert_eq!(&line, b"OPEN 1 2 c=chat,d=1\r\n");
        server.write_all(b"UP 7\r\nM 1\r\nLOAD 5.5\r\nBYE\r\n").expect("open");
        let (mut asked, mut told) = (Some(1500), Vec::new());
        until(|| {
            fetch.link.ready(true, true);
            fetch.answer(&turn.pool) == Some(Answer::Up)
        });
        fetch.stands(1600);
        until(|| {
            fetch.link.ready(true, true);
            assert_eq!(fetch.take_in(2000, &turn.pool, &mut asked, &mut told).1, Ok(()));
            fetch.outcome() == Outcome::Ok // Its last word was BYE.
        });
        assert_eq!((asked, told, fetch.answered()), (None, vec![5.5], Some((2000, 500))));
        assert!(!fetches.server_lives(ID, 1700), "it has said nothing to others");
    }
}
