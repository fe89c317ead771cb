//! What the calls ask for, done: the door's words go to those whose they are.

use shorewharf_decisions::interface::ServerId;
use shorewharf_protocol::operators::{Answer, Call, Figures, Refusal};

use super::counts::Counts;
use super::door::Door;
use crate::net::hub::Net;
use crate::net::poll::{Owner, Ready};

/// Operators' side at the loop that leads.
#[derive(Debug)]
pub struct Desk {
    /// Where they call.
    pub door: Door,
    /// What each loop counts.
    pub counts: Vec<Counts>,
}

impl Net {
    /// Looks at operators, before anybody else, and answers them. `avoided` tells which servers get nothing now.
    pub fn serve_operators(
        &mut self,
        seen: impl Iterator<Item = (Owner, Ready)>,
        avoided: impl Fn() -> Vec<ServerId>,
    ) {
        let Some(desk) = &mut self.desk else { return };
        seen.for_each(|(owner, ready)| desk.door.ready(&mut self.turn, owner, ready));
        desk.door.accept(&mut self.turn);
        for (number, call) in desk.door.take_calls() {
            let answer = match call {
                Ok(call) => self.carry_out(call, &avoided),
                Err(why) => Answer::No(why),
            };
            let Some(desk) = &mut self.desk else { return };
            desk.door.answer(&mut self.turn, number, &answer);
        }
    }

    fn carry_out(&mut self, call: Call, avoided: impl Fn() -> Vec<ServerId>) -> Answer {
        match call {
            Call::Readyz if self.leaving.is_none() => Answer::Yes,
            Call::Readyz => {
                Answer::No(Refusal::NotReady("this process is about to end and takes no clients"))
            }
            Call::Telemetry => Answer::Figures(self.figures(&avoided()).lines()),
            Call::Exclude(id) | Call::Include(id) => Answer::No(Refusal::NoSuchServer(id)),
        }
    }

    /// All that is reported, as it is now.
    fn figures(&self, avoided: &[ServerId]) -> Figures {
        self.serving.note_held();
        let sums = Counts::of_all(self.desk.as_ref().map_or(&[], |desk| &desk.counts));
        let mut classes: Vec<_> = self.serving.terms.names.classes.iter().collect();
        classes.sort_by_key(|(_, at)| **at);
        let replies = classes
            .into_iter()
            .map(|(name, at)| (name.clone(), sums.replies.get(*at).copied().unwrap_or_default()))
            .collect();
        let backends = &self.serving.backends;
        let (targets, targets_disabled) = (backends.listed(), backends.listed_of(avoided));
        let (dispatches, concurrent) = (sums.dispatches, sums.concurrent);
        Figures { replies, dispatches, concurrent, targets, targets_disabled }
    }
}
