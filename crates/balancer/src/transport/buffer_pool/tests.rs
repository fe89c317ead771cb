//! Tests of buffers and their pool.

use super::*;

#[test]
fn a_buffer_is_reused_and_keeps_the_order_of_bytes() {
    let pool = BufferPool::default();
    let mut buffer = pool.take();
    assert!(buffer.append(b"one two"));
    buffer.consume(4);
    assert!(buffer.append(b" three"));
    assert_eq!(buffer.contents(), b"two three");
    assert!(!buffer.append(&[0; BUFFER_BYTES]));
    drop(buffer);
    assert_eq!(pool.0.borrow().len(), 1);
    assert!(pool.take().contents().is_empty());
    drop((pool.take(), pool.take()));
    assert_eq!(pool.0.borrow().len(), 2);
}
