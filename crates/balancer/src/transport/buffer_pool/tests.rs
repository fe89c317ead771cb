//! Tests of the module that these stand beside.

use super::*;

#[test]
fn a_buffer_is_used_again_and_keeps_its_order() {
    let pool = BufferPool::default();
    let mut b = pool.take();
    assert!(b.append(b"one two"));
    b.consume(4);
    assert!(b.append(b" three"));
    assert_eq!(b.contents(), b"two three");
    assert!(!b.append(&[0; BUFFER_BYTES]));
    drop(b);
    assert_eq!(pool.0.borrow().len(), 1);
    assert!(pool.take().contents().is_empty());
    drop((pool.take(), pool.take()));
    assert_eq!(pool.0.borrow().len(), 2);
}
