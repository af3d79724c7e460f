//! Tests of the clock and its timers.

use std::time::{Duration, Instant};

use futures_lite::future;
use ochrelead_core::time::Span;
use ochrelead_host::clock::Clock;

#[test]
fn clock_is_monotonic() {
    let clock = Clock::start();
    let moments: Vec<_> = (0..1_000).map(|_| clock.now()).collect();
    assert!(moments.is_sorted());
}

#[test]
fn timer_fires_no_earlier_than_its_moment() {
    let clock = Clock::start();
    let before = Instant::now();
    future::block_on(clock.timer(Some(clock.now() + Span::from_millis(30))));
    assert!(before.elapsed() >= Duration::from_millis(29));
}

#[test]
fn timer_for_an_elapsed_moment_fires() {
    let clock = Clock::start();
    future::block_on(clock.timer(Some(clock.now())));
}

#[test]
fn timer_without_a_moment_does_not_fire() {
    let clock = Clock::start();
    let timer_without_moment = async {
        clock.timer(None).await;
        false
    };
    let short_timer = async {
        clock.timer(Some(clock.now() + Span::from_millis(20))).await;
        true
    };
    assert!(future::block_on(future::or(timer_without_moment, short_timer)));
}
