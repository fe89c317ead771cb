//! Applies network faults during a run: begins and ends them, and withholds the commands that they block or delay.

use super::{Driver, RunError, affected_pairs};
use crate::edge::{BalancerId, ToBalancer};
use crate::sockets::harness::Harness;
use crate::sockets::network_faults::NetworkFaultKind;

impl<S: Harness> Driver<'_, S> {
    /// Begins and ends network faults that are due, and delivers messages that were delayed by them.
    pub(super) fn apply_network_faults(&mut self) -> Result<(), RunError> {
        let now = self.harness_time;
        let mut arrives = Vec::new();
        while let Some(transition) = self.network_faults.next_transition(now) {
            let fault = self.network_faults.get(transition.index).clone();
            match fault.kind {
                NetworkFaultKind::ProcessStopped => {
                    let is_stopped = transition.begins;
                    fault.balancers.iter().for_each(|who| self.fleet.set_stopped(*who, is_stopped));
                }
                NetworkFaultKind::EndpointListLost if !transition.begins => {
                    let is_blocked = |who| self.network_faults.is_list_blocked(now, who);
                    let (blocked, unblocked) =
                        self.lost_list_events.drain(..).partition(|(who, _)| is_blocked(*who));
                    self.lost_list_events = blocked;
                    arrives.extend::<Vec<_>>(unblocked);
                }
                NetworkFaultKind::EndpointListLost | NetworkFaultKind::AnswersDelayed(_) => {}
                NetworkFaultKind::GossipLost
                | NetworkFaultKind::GossipDuplicated
                | NetworkFaultKind::GossipDelayed(_) => {}
                NetworkFaultKind::ConnectionsReset if transition.begins => {
                    for (who, node) in affected_pairs(&fault) {
                        for link in self.nodes.reset(&mut self.net, node, who) {
                            self.harness.on_link_reset(now, who, link, &mut self.commands);
                        }
                    }
                }
                NetworkFaultKind::ConnectionsReset => {}
                NetworkFaultKind::ConnectionsRefused
                | NetworkFaultKind::HalfOpen
                | NetworkFaultKind::AnswersLost => {
                    for (who, node) in affected_pairs(&fault) {
                        let reachability = self.network_faults.reachability(now, who, node);
                        self.nodes.set_link_reachability(
                            &mut self.net,
                            (node, who),
                            reachability,
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
            // A balancer that has closed its watch in the meantime receives the change with the answer to its next call.
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
                // The balancer can no longer receive the events.
                self.lost_list_events.retain(|(to, _)| *to != who);
                self.pending_list_events.retain(|(to, _)| *to != who);
                false
            }
            _ => false,
        }
    }
}
