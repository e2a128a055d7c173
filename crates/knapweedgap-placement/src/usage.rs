//! Learned ratio of used to declared size of each class.

use std::collections::BTreeMap;

use knapweedgap_core::{id, size};

/// Weight of the newest report in the moving average, in thousandths.
const NEWEST_WEIGHT_MILLI: u64 = 100;
/// Ratio at which reports are clipped, in thousandths. Declared sizes are wrong by a factor of up
/// to 4.
const RATIO_MILLI_MAX: u64 = 4000;
/// Most stored classes.
const CLASSES_MAX: usize = 4096;

#[derive(Debug, Clone, Copy)]
struct Ratio {
    processor: u64,
    memory: u64,
}

/// Moving average of used / declared size, by class.
#[derive(Debug, Default)]
pub struct Model {
    classes: BTreeMap<id::Class, Ratio>,
}

impl Model {
    /// Updates the ratios of a class from one measurement of a running task.
    pub fn learn(&mut self, class: &id::Class, declared: &size::Resources, used: &size::Resources) {
        let newest = Ratio {
            processor: ratio_milli(used.processor.milli(), declared.processor.milli()),
            memory: ratio_milli(used.memory.get(), declared.memory.get()),
        };
        if let Some(mean) = self.classes.get_mut(class) {
            mean.processor = weighted_mean(mean.processor, newest.processor);
            mean.memory = weighted_mean(mean.memory, newest.memory);
            return;
        }
        if self.classes.len() < CLASSES_MAX {
            self.classes.insert(class.clone(), newest);
        }
    }

    /// Returns the size that a task of the class is expected to use. It is never below the declared
    /// size, so that the sum of the declared sizes stays within the capacity.
    pub fn headroom(&self, class: &id::Class, declared: &size::Resources) -> size::Resources {
        let Some(ratio) = self.classes.get(class) else { return *declared };
        let scale = |value: u64, milli: u64| {
            value.saturating_mul(milli.max(1000)).checked_div(1000).unwrap_or(value).max(value)
        };
        size::Resources {
            processor: size::Processor::from_milli(scale(
                declared.processor.milli(),
                ratio.processor,
            )),
            memory: size::Bytes::new(scale(declared.memory.get(), ratio.memory)),
            accelerator: declared.accelerator,
        }
    }
}

fn ratio_milli(used: u64, declared: u64) -> u64 {
    (used.saturating_mul(1000) / declared.max(1)).min(RATIO_MILLI_MAX)
}

fn weighted_mean(mean: u64, newest: u64) -> u64 {
    (mean * (1000 - NEWEST_WEIGHT_MILLI) + newest * NEWEST_WEIGHT_MILLI) / 1000
}
