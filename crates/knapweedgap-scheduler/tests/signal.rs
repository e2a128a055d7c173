//! Signals between tasks of one thread.

use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use futures_lite::future::{block_on, poll_once, yield_now};
use knapweedgap_scheduler::signal::Signal;

/// Number of requests that wait for a signal which is notified once in a term.
const WAITS: usize = 1_000;
const LONG: Duration = Duration::from_secs(60);

/// Guards against memory and time of a wait that grow with the number of earlier waits: each answer that
/// a job does not exist waited for the end of the term, and left its waker behind.
#[test]
fn a_wait_that_ends_leaves_nothing_behind() {
    let signal = Rc::new(Signal::default());
    let executor = LocalExecutor::new();
    block_on(executor.run(async {
        for _ in 0..WAITS {
            let waiting = signal.clone();
            let task = executor.spawn(async move { waiting.wait(0, Duration::ZERO).await });
            task.await;
        }
        assert_eq!(signal.waiting(), 0, "after their timeouts");
        let mut dropped = Box::pin(signal.wait(0, LONG));
        assert_eq!(poll_once(&mut dropped).await, None);
        assert_eq!(signal.waiting(), 1);
        drop(dropped);
        assert_eq!(signal.waiting(), 0, "after the wait was dropped");
    }));
}

/// Guards against a task that is not woken by a change, or waits for one that it has not seen yet.
#[test]
fn a_change_wakes_all_waiting_tasks() {
    let signal = Rc::new(Signal::default());
    let executor = LocalExecutor::new();
    block_on(executor.run(async {
        let tasks: Vec<_> = (0..3)
            .map(|_| {
                let waiting = signal.clone();
                executor.spawn(async move { waiting.wait(0, LONG).await })
            })
            .collect();
        while signal.waiting() < tasks.len() {
            yield_now().await;
        }
        signal.notify();
        for task in tasks {
            task.await;
        }
        signal.wait(0, LONG).await;
        assert_eq!((signal.count(), signal.waiting()), (1, 0));
    }));
}
