//! Tests of the prefix cache.

use standins::cache::PrefixCache;

#[test]
fn lookup_protects_blocks_from_eviction() {
    let mut cache = PrefixCache::default();
    cache.insert(&[1, 2], 10);
    cache.insert(&[3, 4], 10);
    assert_eq!(cache.lookup(&[1, 2]), 2);
    assert_eq!(cache.shrink(2), [4, 3]);
    assert_eq!(cache.lookup(&[1, 2]), 2);
}

#[test]
fn evicts_last_block_of_prefix_first() {
    let mut cache = PrefixCache::default();
    cache.insert(&[1, 2, 3], 10);
    assert_eq!(cache.shrink(2), [3]);
    assert_eq!(cache.lookup(&[1, 2, 3]), 2);
}

#[test]
fn keeps_start_of_prefix_larger_than_cache() {
    let mut cache = PrefixCache::default();
    let change = cache.insert(&[1, 2, 3], 2);
    assert_eq!((change.stored, change.removed), (vec![1, 2], vec![]));
    assert_eq!(cache.len(), 2);
    assert_eq!(cache.lookup(&[2, 3]), 1);
}
