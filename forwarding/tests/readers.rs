//! Who follows the entries in the store.

mod support;

use forwarding::readers::Reading;
use support::ms;

#[test]
fn the_first_gateways_read_and_the_others_listen() {
    let reading = Reading::default();
    assert!(reading.is_reader());
    for rank in 0..3 {
        assert!(reading.next(ms(0), rank, 5, true).is_reader());
    }
    assert!(!reading.next(ms(0), 3, 3, true).is_reader());
}

#[test]
fn a_gateway_that_hears_fewer_than_two_readers_reads_itself() {
    let listener = Reading::default().next(ms(0), 7, 3, true);
    assert!(!listener.next(ms(100), 7, 2, true).is_reader());
    assert!(listener.next(ms(100), 7, 1, true).is_reader());
}

#[test]
fn a_lasting_difference_from_all_readers_makes_a_listener_list_once() {
    let mut reading = Reading::default().next(ms(0), 7, 3, false);
    reading = reading.next(ms(1_000), 7, 3, false);
    assert!(!reading.must_list(ms(1_000)));
    assert!(reading.must_list(ms(1_800)));
    reading = reading.next(ms(1_900), 7, 3, false);
    assert!(!reading.must_list(ms(1_900)), "it lists again at once");
    reading = reading.next(ms(2_500), 7, 3, true);
    assert!(!reading.must_list(ms(9_000)));
}
