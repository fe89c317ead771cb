//! Network faults during a run: which begin and end, and what they withhold.

use super::{Driver, RunError, pairs};
use crate::edge::{BalancerId, ToBalancer};
use crate::sockets::harness::Harness;
use crate::sockets::network_faults::NetworkFaultKind;

impl<S: Harness> Driver<'_, S> {
    /// Begins and ends network faults that are due, and delivers messages that were delayed by them.
    pub(super) fn apply_network_faults(&mut self) -> Result<(), RunError> {
        let now = self.harness_time;
        let mut arrives = Vec::new();
        while let Some(edge) = self.network_faults.next_transition(now) {
            let b = self.network_faults.get(edge.index).clone();
            match b.what {
                NetworkFaultKind::Stall => {
                    b.balancers.iter().for_each(|who| self.fleet.stall(*who, edge.begins));
                }
                NetworkFaultKind::NewsLost if !edge.begins => {
                    let is_deaf = |who| self.network_faults.is_list_blocked(now, who);
                    let (still, heard) = self.lost_list_events.drain(..).partition(|(who, _)| is_deaf(*who));
                    self.lost_list_events = still;
                    arrives.extend::<Vec<_>>(heard);
                }
                NetworkFaultKind::NewsLost | NetworkFaultKind::Slow(_) => {}
                NetworkFaultKind::NotesLost
                | NetworkFaultKind::NotesDoubled
                | NetworkFaultKind::NotesLate(_) => {}
                NetworkFaultKind::Reset if edge.begins => {
                    for (who, node) in pairs(&b) {
                        for link in self.nodes.reset(&mut self.net, node, who) {
                            self.harness.on_link_reset(now, who, link, &mut self.commands);
                        }
                    }
                }
                NetworkFaultKind::Reset => {}
                NetworkFaultKind::Refused | NetworkFaultKind::Silent | NetworkFaultKind::AnswersLost => {
                    for (who, node) in pairs(&b) {
                        let reach = self.network_faults.reachability(now, who, node);
                        self.nodes.set_link_reachability(
                            &mut self.net,
                            (node, who),
                            reach,
                            &mut self.observations,
                            &mut arrives,
                        )?;
                    }
                }
            }
        }
        self.datagram_proxy.iter_mut().for_each(|n| n.run_due(now));
        while let Some(arrived) = self.network_faults.pop_arrived(now) {
            arrives.push(arrived);
        }
        for (who, what) in arrives {
            // A balancer that has closed its watch meanwhile gets the change with the answer to its next call.
            if matches!(what, ToBalancer::List { .. }) && !self.discovery.is_watched(who) {
                self.apply_command(who, &what)?;
                self.pending_list_events.push((who, what));
            } else {
                self.execute(who, &what)?;
            }
        }
        self.execute_commands()
    }

    /// Withholds a command if a network fault blocks or delays it; returns whether it did.
    pub(super) fn withhold(&mut self, who: BalancerId, what: &ToBalancer) -> bool {
        if self.started_at.is_none() {
            return false;
        }
        match what {
            ToBalancer::NodeMessage(link, _) | ToBalancer::NodeEnded(link, _) => {
                let node = self.nodes.node_and_conn(*link).map(|(node, _)| node);
                self.nodes.withhold(*link, what)
                    || node.is_some_and(|node| {
                        self.network_faults.delay(self.harness_time, node, *link, who, what)
                    })
            }
            ToBalancer::List { .. } | ToBalancer::ListFailed
                if self.network_faults.is_list_blocked(self.harness_time, who) =>
            {
                self.lost_list_events.push((who, what.clone()));
                true
            }
            ToBalancer::Kill => {
                // Nobody is left to receive it.
                self.lost_list_events.retain(|(to, _)| *to != who);
                self.pending_list_events.retain(|(to, _)| *to != who);
                false
            }
            _ => false,
        }
    }
}
