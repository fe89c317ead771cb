//! Tests of disabled servers and their list entries.

use super::*;
use proptest::prelude::*;

const ONE: ServerId = ServerId(1);

fn listed(stage: ServerState, born: f64) -> ServerEntry {
    ServerEntry { server: ONE, zone: 0, cell: 0, state: stage, weight: 1.0, started_at: born }
}

fn out(since: f64) -> AdminChange {
    AdminChange::Disabled(ONE, DisabledServer { name: "s-1".into(), disabled_at: since })
}

#[test]
fn a_server_put_back_is_as_cold_as_it_may_be() {
    let mut taken = DisabledServers::default();
    assert!(taken.apply(out(100.0)) && !taken.apply(out(105.0)), "it is out once");
    assert_eq!(taken.effective_entry(listed(ServerState::Ready, 5.0)).state, ServerState::Draining);
    assert_eq!(taken.effective_entry(listed(ServerState::Removed, 5.0)).state, ServerState::Removed);
    assert!(taken.apply(AdminChange::Enabled(ONE, 110.0)) && !taken.apply(AdminChange::Enabled(ONE, 111.0)));
    // The list lags: it may have been restarted a moment ago.
    assert_eq!(taken.effective_entry(listed(ServerState::Ready, 5.0)), listed(ServerState::Ready, 110.0));
    // The list tells of a restart while it was out.
    assert_eq!(taken.effective_entry(listed(ServerState::Ready, 107.0)), listed(ServerState::Ready, 107.0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]
    /// Whatever lists and calls come in whatever order, it is out exactly from the first call out to the next call back.
    #[test]
    fn only_a_call_puts_a_server_back(steps in prop::collection::vec((0u8..4, 0u8..3), 0..40)) {
        let (mut taken, mut is_out) = (DisabledServers::default(), false);
        for (now, (step, stage)) in steps.into_iter().enumerate() {
            let now = now as f64;
            match step {
                0 => { prop_assert_eq!(taken.apply(out(now)), !is_out); is_out = true; }
                1 => { prop_assert_eq!(taken.apply(AdminChange::Enabled(ONE, now)), is_out); is_out = false; }
                _ => taken.forget(ONE),
            }
            let stage = [ServerState::Ready, ServerState::Draining, ServerState::Removed][usize::from(stage)];
            let seen = taken.effective_entry(listed(stage, 0.0)).state;
            prop_assert_eq!(seen == ServerState::Ready, stage == ServerState::Ready && !is_out);
        }
    }
}
