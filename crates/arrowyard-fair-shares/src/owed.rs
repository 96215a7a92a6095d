//! The division: weighted max-min.

/// What one service may claim of a host's places. `least` and `most` are in places; `least` is given before anything is
/// divided by `share`, as far as it is asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Places that it could use now.
    pub demand: f64,
    /// Its weight. With 0 it gets what nobody with a weight wants.
    pub share: f64,
    pub least: f64,
    pub most: f64,
    /// Places that it has at other hosts that serve the same: who can go elsewhere gets less here.
    pub has: f64,
}

/// What each is owed of `capacity` places: the weighted max-min division. There is a level so that each gets its weight
/// times the level, less what it has elsewhere, but no less than its least and no more than its most and its demand; the level is the highest at
/// which the sum is within the capacity. Leasts that together are above the capacity are cut in proportion.
#[must_use]
pub fn owed(capacity: f64, claims: &[Claim]) -> Vec<f64> {
    let tops: Vec<f64> = claims.iter().map(|claim| claim.demand.min(claim.most).max(0.0)).collect();
    let mut floors: Vec<f64> =
        claims.iter().zip(&tops).map(|(claim, top)| claim.least.clamp(0.0, *top)).collect();
    let sum: f64 = floors.iter().sum();
    if sum > capacity {
        floors.iter_mut().for_each(|floor| *floor *= capacity.max(0.0) / sum);
        return floors;
    }
    let part = |place: usize, level: f64| {
        (claims[place].share * level - claims[place].has).clamp(floors[place], tops[place])
    };
    let weighted: Vec<usize> = (0..claims.len()).filter(|&place| claims[place].share > 0.0).collect();
    let unweighted: f64 =
        (0..claims.len()).filter(|&place| claims[place].share <= 0.0).map(|place| floors[place]).sum();
    let at = |level: f64| weighted.iter().map(|&place| part(place, level)).sum::<f64>() + unweighted;
    // The sum rises with the level and bends only where somebody's floor ends or top begins.
    let mut bends: Vec<f64> = weighted
        .iter()
        .flat_map(|&place| {
            let Claim { share, has, .. } = claims[place];
            [(floors[place] + has) / share, (tops[place] + has) / share]
        })
        .collect();
    bends.push(0.0);
    bends.sort_by(f64::total_cmp);
    let above = bends.iter().position(|&level| at(level) > capacity);
    let level = match above {
        None => bends.last().copied().unwrap_or(0.0),
        Some(place) => {
            let (from, to) = (bends[place.saturating_sub(1)], bends[place]);
            let (low, high) = (at(from), at(to));
            from + (to - from) * ((capacity - low) / (high - low)).clamp(0.0, 1.0)
        }
    };
    let mut parts: Vec<f64> = floors.clone();
    weighted.iter().for_each(|&place| parts[place] = part(place, level));
    // What nobody with a weight wants is divided evenly between those without.
    let rest = capacity - parts.iter().sum::<f64>();
    let others: Vec<usize> = (0..claims.len()).filter(|&place| claims[place].share <= 0.0).collect();
    if rest > 0.0 && !others.is_empty() {
        let even = |place: &usize| Claim {
            demand: tops[*place] - parts[*place],
            share: 1.0,
            least: 0.0,
            most: f64::INFINITY,
            has: claims[*place].has,
        };
        let more = owed(rest, &others.iter().map(even).collect::<Vec<_>>());
        others.iter().zip(more).for_each(|(&place, more)| parts[place] += more);
    }
    parts
}
