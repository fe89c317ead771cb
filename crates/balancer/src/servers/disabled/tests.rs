//! Tests of disabled servers and their list entries.

use super::*;
use proptest::prelude::*;

const ONE: ServerId = ServerId(1);

fn listed(state: ServerState, started_at: f64) -> ServerEntry {
    ServerEntry { server: ONE, zone: 0, cell: 0, state, weight: 1.0, started_at }
}

fn disable(disabled_at: f64) -> AdminChange {
    AdminChange::Disabled(ONE, DisabledServer { name: "s-1".into(), disabled_at })
}

#[test]
fn a_server_that_is_enabled_again_is_as_cold_as_it_may_be() {
    let mut servers = DisabledServers::default();
    assert!(servers.apply(disable(100.0)) && !servers.apply(disable(105.0)), "it is disabled once");
    assert_eq!(servers.effective_entry(listed(ServerState::Ready, 5.0)).state, ServerState::Draining);
    assert_eq!(servers.effective_entry(listed(ServerState::Removed, 5.0)).state, ServerState::Removed);
    assert!(
        servers.apply(AdminChange::Enabled(ONE, 110.0)) && !servers.apply(AdminChange::Enabled(ONE, 111.0))
    );
    // The list lags: the server may have been restarted a moment ago.
    assert_eq!(servers.effective_entry(listed(ServerState::Ready, 5.0)), listed(ServerState::Ready, 110.0));
    // The list has a restart from while it was disabled.
    assert_eq!(servers.effective_entry(listed(ServerState::Ready, 107.0)), listed(ServerState::Ready, 107.0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]
    /// Whatever lists and commands come in whatever order, a server drains exactly from a disable to the next enable.
    #[test]
    fn only_an_operator_enables_a_server_again(steps in prop::collection::vec((0u8..4, 0u8..3), 0..40)) {
        let (mut servers, mut is_disabled) = (DisabledServers::default(), false);
        for (now, (step, state)) in steps.into_iter().enumerate() {
            let now = now as f64;
            match step {
                0 => { prop_assert_eq!(servers.apply(disable(now)), !is_disabled); is_disabled = true; }
                1 => { prop_assert_eq!(servers.apply(AdminChange::Enabled(ONE, now)), is_disabled); is_disabled = false; }
                _ => servers.forget(ONE),
            }
            let state = [ServerState::Ready, ServerState::Draining, ServerState::Removed][usize::from(state)];
            let effective = servers.effective_entry(listed(state, 0.0)).state;
            prop_assert_eq!(effective == ServerState::Ready, state == ServerState::Ready && !is_disabled);
        }
    }
}
