//! The prefix cache.

use standins::cache::PrefixCache;

#[test]
fn looked_up_blocks_outlive_younger_ones() {
    let mut cache = PrefixCache::default();
    cache.insert(&[1, 2], 10);
    cache.insert(&[3, 4], 10);
    assert_eq!(cache.lookup(&[1, 2]), 2);
    assert_eq!(cache.shrink(2), [4, 3]);
    assert_eq!(cache.lookup(&[1, 2]), 2);
}

#[test]
fn last_block_of_a_prefix_goes_first() {
    let mut cache = PrefixCache::default();
    cache.insert(&[1, 2, 3], 10);
    assert_eq!(cache.shrink(2), [3]);
    assert_eq!(cache.lookup(&[1, 2, 3]), 2);
}

#[test]
fn prefix_larger_than_the_cache_keeps_its_start() {
    let mut cache = PrefixCache::default();
    let change = cache.insert(&[1, 2, 3], 2);
    assert_eq!((change.stored, change.removed), (vec![1, 2], vec![]));
    assert_eq!(cache.len(), 2);
    assert_eq!(cache.lookup(&[2, 3]), 1);
}
