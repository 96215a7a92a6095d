//! Weighted max-min division of a capacity.

/// A class that contends for a host's permits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Contender {
    /// Permits that the class could use now.
    pub demand: f64,
    /// Relative weight. A class of weight 0 gets only what classes with a weight leave over.
    pub weight: f64,
    /// Permits that it gets before the rest is divided by weight, as far as it has demand for them.
    pub guaranteed: f64,
    /// The maximum number of permits that it gets.
    pub limit: f64,
    /// Permits that the class has at other hosts of the same group; they count against its share here.
    pub held_elsewhere: f64,
}

/// The weighted max-min share of each contender in `capacity` permits. Each contender gets its weight times a
/// common level, less what it holds elsewhere, but at least its guarantee and at most its limit and its
/// demand; the level is the highest at which the sum stays within the capacity. Guarantees that together
/// exceed the capacity are cut in proportion.
#[must_use]
pub fn weighted_max_min(capacity: f64, contenders: &[Contender]) -> Vec<f64> {
    let upper: Vec<f64> =
        contenders.iter().map(|contender| contender.demand.min(contender.limit).max(0.0)).collect();
    let mut lower: Vec<f64> = contenders
        .iter()
        .zip(&upper)
        .map(|(contender, upper)| contender.guaranteed.clamp(0.0, *upper))
        .collect();
    let lower_sum: f64 = lower.iter().sum();
    if lower_sum > capacity {
        lower.iter_mut().for_each(|bound| *bound *= capacity.max(0.0) / lower_sum);
        return lower;
    }
    let share_at = |index: usize, level: f64| {
        (contenders[index].weight * level - contenders[index].held_elsewhere)
            .clamp(lower[index], upper[index])
    };
    let weighted: Vec<usize> =
        (0..contenders.len()).filter(|&index| contenders[index].weight > 0.0).collect();
    let zero_weight_sum: f64 = (0..contenders.len())
        .filter(|&index| contenders[index].weight <= 0.0)
        .map(|index| lower[index])
        .sum();
    let sum_at =
        |level: f64| weighted.iter().map(|&index| share_at(index, level)).sum::<f64>() + zero_weight_sum;
    // The sum is piecewise linear in the level; its breakpoints are where a contender leaves its lower bound
    // or reaches its upper bound.
    let mut breakpoints: Vec<f64> = weighted
        .iter()
        .flat_map(|&index| {
            let Contender { weight, held_elsewhere, .. } = contenders[index];
            [(lower[index] + held_elsewhere) / weight, (upper[index] + held_elsewhere) / weight]
        })
        .collect();
    breakpoints.push(0.0);
    breakpoints.sort_by(f64::total_cmp);
    let first_above = breakpoints.iter().position(|&level| sum_at(level) > capacity);
    let level = match first_above {
        None => breakpoints.last().copied().unwrap_or(0.0),
        Some(index) => {
            let (from_level, to_level) = (breakpoints[index.saturating_sub(1)], breakpoints[index]);
            let (from_sum, to_sum) = (sum_at(from_level), sum_at(to_level));
            from_level
                + (to_level - from_level) * ((capacity - from_sum) / (to_sum - from_sum)).clamp(0.0, 1.0)
        }
    };
    let mut shares: Vec<f64> = lower.clone();
    weighted.iter().for_each(|&index| shares[index] = share_at(index, level));
    // What the weighted contenders leave over is divided evenly between those of weight 0.
    let remaining = capacity - shares.iter().sum::<f64>();
    let zero_weight: Vec<usize> =
        (0..contenders.len()).filter(|&index| contenders[index].weight <= 0.0).collect();
    if remaining > 0.0 && !zero_weight.is_empty() {
        let equal_contender = |index: &usize| Contender {
            demand: upper[*index] - shares[*index],
            weight: 1.0,
            guaranteed: 0.0,
            limit: f64::INFINITY,
            held_elsewhere: contenders[*index].held_elsewhere,
        };
        let extra_shares =
            weighted_max_min(remaining, &zero_weight.iter().map(equal_contender).collect::<Vec<_>>());
        zero_weight.iter().zip(extra_shares).for_each(|(&index, extra)| shares[index] += extra);
    }
    shares
}
