//! The machine's clock.

use std::time::{Duration, Instant};

use futures_lite::future;
use ochrelead_core::time::Span;
use ochrelead_host::clock::Clock;

#[test]
fn moments_never_go_back() {
    let clock = Clock::start();
    let moments: Vec<_> = (0..1_000).map(|_| clock.now()).collect();
    assert!(moments.is_sorted());
}

#[test]
fn a_timer_fires_at_its_moment_and_not_before() {
    let clock = Clock::start();
    let before = Instant::now();
    future::block_on(clock.timer(Some(clock.now() + Span::from_millis(30))));
    assert!(before.elapsed() >= Duration::from_millis(29));
}

#[test]
fn a_timer_for_a_past_moment_fires_at_once() {
    let clock = Clock::start();
    future::block_on(clock.timer(Some(clock.now())));
}

#[test]
fn a_timer_without_a_moment_never_fires() {
    let clock = Clock::start();
    let never = async {
        clock.timer(None).await;
        false
    };
    let soon = async {
        clock.timer(Some(clock.now() + Span::from_millis(20))).await;
        true
    };
    assert!(future::block_on(future::or(never, soon)));
}
