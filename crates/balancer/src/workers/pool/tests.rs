//! Tests of forwarding clients between workers and of serving the listeners of stalled workers.

use super::*;
use crate::event_loop::poll::EventPoller;

fn pool(n: usize) -> (Vec<WorkerPool>, Vec<EventPoller>) {
    let (mut workers, mut pollers) = (Vec::new(), Vec::new());
    for _ in 0..n {
        let poller = EventPoller::new().expect("a poller");
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        workers.push(NewWorker::new(poller.waker().expect("a waker"), listener));
        pollers.push(poller);
    }
    (WorkerPool::connect(workers), pollers)
}

#[test]
fn clients_are_forwarded_to_far_less_loaded_workers_that_have_not_stalled() {
    let (pool, _pollers) = pool(3);
    for (index, clients) in [(0, 100), (1, 90), (2, 10)] {
        pool[index].publish_state(clients, 5_000_000);
    }
    assert_eq!(
        (pool[1].less_loaded_worker(5_000_000, 90), pool[2].less_loaded_worker(5_000_000, 10)),
        (Some(2), None)
    );
    assert_eq!(pool[0].less_loaded_worker(5_000_000, 27), None, "the client just forwarded is counted");
    // The least loaded worker has stalled; the second least loaded one has too many clients at first.
    pool[0].publish_state(100, 9_000_000);
    pool[1].publish_state(90, 9_000_000);
    assert_eq!(pool[0].less_loaded_worker(5_000_000 + STALL_TIMEOUT, 106), None);
    assert_eq!(pool[0].less_loaded_worker(5_000_000 + STALL_TIMEOUT, 107), Some(1));
}

#[test]
fn the_listener_of_a_neighbour_that_has_stalled_or_ended_is_served() {
    let (mut pool, _pollers) = pool(2);
    pool[1].publish_state(0, 1_000_000);
    assert!(pool[0].check_neighbour(1_000_000 + STALL_TIMEOUT - 1).is_none());
    assert!(matches!(pool[0].check_neighbour(1_000_000 + STALL_TIMEOUT), Some(NeighbourListener::Serve(_))));
    assert!(
        pool[0].check_neighbour(1_000_000 + STALL_TIMEOUT).is_none()
            && pool[0].neighbour_listener().is_some()
    );
    pool[1].publish_state(0, 3_000_000);
    assert!(
        matches!(pool[0].check_neighbour(2_500_000), Some(NeighbourListener::Release(_)))
            && pool[0].neighbour_listener().is_none()
    );
    drop(pool.remove(1));
    assert!(matches!(pool[0].check_neighbour(2_500_000), Some(NeighbourListener::Serve(_))));
    assert!(pool[0].send(1, WorkerMessage::Shutdown).is_err());
}
