//! Tests of the ids of open requests, in one process and over several.

use super::*;

const SUCCESSOR: SiblingLink = SiblingLink::Successor(1);

#[test]
fn an_id_has_one_claim_until_it_is_released() {
    let ids = OpenIds::default();
    assert!(ids.claim(5));
    assert!(!ids.claim(5), "two open requests have the same id");
    ids.release(5);
    assert!(ids.claim(5));
    assert!(!ids.has_changed(), "changes are recorded although there are no siblings");
}

/// Guards against a request with the id of another client's request at the other process of a replacement.
#[test]
fn an_id_of_another_process_cannot_be_claimed_until_that_process_releases_it_or_ends() {
    let ids = OpenIds::default();
    ids.hold_for_sibling(5, SiblingLink::Predecessor);
    ids.hold_for_sibling(5, SiblingLink::Predecessor);
    ids.hold_for_sibling(6, SUCCESSOR);
    assert!(!ids.claim(5) && !ids.claim(6));
    ids.release_for_sibling(5, SUCCESSOR);
    assert!(!ids.claim(5), "a process has released an id that another one holds");
    ids.release_for_sibling(5, SiblingLink::Predecessor);
    assert!(ids.claim(5));
    ids.release_sibling(SUCCESSOR);
    assert!(ids.claim(6));
    ids.release(5);
    ids.release(6);
    assert!(ids.open().is_empty() && !ids.contains(5), "released ids use memory");
}

#[test]
fn a_transferred_connection_keeps_its_id_beside_a_claim_of_the_same_id() {
    let ids = OpenIds::default();
    ids.hold_for_sibling(5, SiblingLink::Predecessor);
    assert!(!ids.claim_transferred(5), "no other request of this process has the id");
    ids.release_for_sibling(5, SiblingLink::Predecessor);
    assert!(ids.claim_transferred(5));
    ids.release(5);
    assert!(!ids.claim(5), "the end of one request has released the id of the other");
    ids.release(5);
    assert!(ids.claim(5));
}

#[test]
fn changes_are_recorded_while_there_are_siblings_and_not_reflected_to_their_origin() {
    let ids = OpenIds::default();
    ids.set_has_siblings(true);
    ids.claim(5);
    ids.hold_for_sibling(6, SUCCESSOR);
    assert!(ids.has_changed());
    assert_eq!(ids.take_changed(), [5, 6]);
    assert!(!ids.has_changed());
    let states = |link| [5, 6].map(|id| ids.state_apart_from(id, link));
    assert_eq!(states(SUCCESSOR), [IdState::Open, IdState::Free]);
    assert_eq!(states(SiblingLink::Predecessor), [IdState::Open, IdState::Open]);
    ids.release(5);
    assert_eq!((ids.take_changed(), ids.open()), (vec![5], vec![6]));
}

/// Guards against a request that runs again under the same id, and against ids that use ever more memory.
#[test]
fn the_id_of_a_request_that_must_not_run_again_stays_taken_until_many_others_have_ended() {
    let ids = OpenIds::default();
    assert!(ids.claim(5));
    ids.release_retained(5);
    assert!(!ids.claim(5));
    assert!(ids.claim_restored(5), "a connection from before the start could not come again");
    ids.release_retained(5);
    assert_eq!(
        ids.state_apart_from(5, SUCCESSOR),
        IdState::Retained,
        "the other process would accept the id"
    );
    assert_eq!(ids.holder(5), Some(IdHolder::EndedRequest));
    for id in 0..MAX_RETAINED_IDS as u64 {
        ids.claim_restored(100 + id);
        ids.release_retained(100 + id);
    }
    assert!(ids.claim(5));
    assert_eq!((ids.retained().len(), ids.open()), (MAX_RETAINED_IDS, vec![5]));
}

/// Guards against a moment at which nobody holds the id of a connection that another process has taken.
#[test]
fn an_id_stays_held_when_its_connection_goes_to_another_process() {
    let ids = OpenIds::default();
    assert!(ids.claim(5));
    ids.transfer_to_sibling(5, SUCCESSOR);
    assert!(!ids.claim(5));
    assert_eq!(ids.holder(5), Some(IdHolder::Sibling(SUCCESSOR)));
    ids.release_for_sibling(5, SUCCESSOR);
    assert_eq!(ids.holder(5), None);
}
