//! What messages take at each server, from what its connections see. One connection may fall silent by itself:
//! only what most of a server's connections see is told of the server.

use std::collections::HashMap;

use super::Net;
use super::clients::Stage;
use super::driver::{Happening, Micros};
use crate::interface::{RequestId, ServerId};

/// An answer says something of its server for so long: clients send a line every 2 s.
const FRESH: Micros = 2_500_000;
/// So many connections must wait at once before their waiting counts: a single one may be at fault itself.
const WAITING: usize = 2;

/// What one standing connection has seen of its server.
#[derive(Clone, Copy, Debug)]
struct Seen {
    /// Since when a line of the client's has gone unanswered.
    asked: Option<Micros>,
    /// When a line was answered last, and how long that took.
    answered: Option<(Micros, Micros)>,
}

/// What a message takes for most of a server's connections; none where too little is known. Waiting counts
/// from `least` on: an answer that is still out takes at least as long as it has been waited for.
fn typical(now: Micros, least: Micros, seen: &[Seen]) -> Option<Micros> {
    let wait = |s: &Seen| s.asked.map(|at| now - at).filter(|w| *w > least);
    let fresh = |s: &Seen| s.answered.filter(|(at, _)| now - at < FRESH).map(|(_, took)| took);
    let waiting = seen.iter().filter(|s| wait(s).is_some()).count();
    let mut figures: Vec<Micros> = seen.iter().filter_map(|s| wait(s).or_else(|| fresh(s))).collect();
    figures.sort_unstable();
    // The lower one of two in the middle: with one of each kind the server does answer.
    let middle = figures.len().checked_sub(1)? / 2;
    let answered = figures.len() - waiting;
    (middle < answered || waiting >= WAITING).then(|| figures[middle])
}

impl Net {
    /// Reports what messages take: for each server once a period while that is over a third of the
    /// shortest aim, and once more when it is back under.
    pub(super) fn report_delays(&mut self) {
        let mut seen: HashMap<ServerId, Vec<Seen>> = HashMap::new();
        for (id, session) in self.sessions.iter().filter(|(_, s)| s.stage() == Stage::Open) {
            if let Some(fetch) = self.fetches.get(id).filter(|f| f.is_up()) {
                let (asked, answered) = (session.asked_since(), fetch.answered());
                seen.entry(fetch.server).or_default().push(Seen { asked, answered });
            }
        }
        let least = self.message_aim / 3;
        let mut reports = Vec::new();
        for (server, b) in &mut self.backends {
            let figure = seen.get(server).and_then(|seen| typical(self.now, least, seen));
            let Some(delay) = figure else { continue };
            let slow = delay > least;
            if slow || b.slow {
                b.slow = slow;
                reports.push(Happening::Delay(*server, delay));
            }
        }
        self.happenings.extend(reports);
    }

    /// Whether this connection's server has said anything to another one since then.
    pub(super) fn server_lives(&self, id: RequestId, since: Micros) -> bool {
        let Some(server) = self.fetches.get(&id).map(|f| f.server) else { return false };
        self.fetches.iter().any(|(other, f)| *other != id && f.server == server && f.heard() > since)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Micros = 100_000_000;

    fn waits(for_us: Micros) -> Seen {
        Seen { asked: Some(NOW - for_us), answered: None }
    }

    fn answered(ago: Micros, took: Micros) -> Seen {
        Seen { asked: None, answered: Some((NOW - ago, took)) }
    }

    #[test]
    fn most_connections_speak_for_their_server() {
        let least = 17_000;
        let quick = answered(1_000_000, 300);
        for (seen, figure) in [
            (vec![], None),
            // One that fell silent says nothing of its server, however long it waits and whoever else is there.
            (vec![waits(900_000)], None),
            (vec![waits(900_000), quick], Some(300)),
            (vec![waits(900_000), waits(900_000), quick, quick], Some(300)),
            // A server that most of its connections wait for is slow.
            (vec![waits(900_000), waits(800_000)], Some(800_000)),
            (vec![waits(900_000), waits(800_000), quick], Some(800_000)),
            (vec![answered(10, 90_000), answered(10, 70_000), quick], Some(70_000)),
            // A line just sent is no waiting, and an old answer is no answer.
            (vec![waits(1_000)], None),
            (vec![answered(3_000_000, 300), waits(900_000), waits(800_000)], Some(800_000)),
        ] {
            assert_eq!(typical(NOW, least, &seen), figure, "{seen:?}");
        }
    }
}
