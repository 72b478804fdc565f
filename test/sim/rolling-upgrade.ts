/** A rolling upgrade from the previous version, followed by lower limits of the state service. */
import type { Simulation } from './simulation.js';
import { NODES } from './sizes.js';

/** Time between the restarts of two controllers. */
const RESTART_INTERVAL_MS = 4000;
/** Time for which a controller is down during its restart. */
const RESTART_MS = 700;
/** Time from the end of the last restart interval until the lower limits apply. */
const LIMITS_DELAY_MS = 3000;
const LOWER_VALUE_KB = 2;
/** Lowered write budget as a share of the original one. */
const LOWER_WRITE_SHARE = 0.75;
/** Lower bound of the lowered number of changes in one transaction. */
const MIN_TXN_OPS = 3;

/**
 * Restarts the controllers one after the other with the new version, the first after `fromMs`. Once the last has
 * restarted users submit pipelines too. Then the lower limits of the state service apply, which the new version's
 * settings announce.
 */
export function scheduleRollingUpgrade(simulation: Simulation, fromMs: number): void {
  const { time, size, state } = simulation;
  const lowerLimits = {
    value_kb: LOWER_VALUE_KB,
    txn_ops: Math.max(MIN_TXN_OPS, size.txnOps / 2),
    write_rps: size.writeRps * LOWER_WRITE_SHARE,
  };
  simulation.upcomingLimits = lowerLimits;
  for (const [i, name] of NODES.entries())
    time.after(fromMs + i * RESTART_INTERVAL_MS, () => {
      upgradeController(simulation, name);
    });
  time.after(fromMs + NODES.length * RESTART_INTERVAL_MS + LIMITS_DELAY_MS, () => {
    state.valueBytes = lowerLimits.value_kb * 1024;
    state.budget = { ...size, writeRps: lowerLimits.write_rps, txnOps: lowerLimits.txn_ops };
  });
}

function upgradeController(simulation: Simulation, name: string): void {
  const node = simulation.controllers.get(name)!;
  node.runsPreviousVersion = false;
  if (node.controller !== null) node.crash();
  simulation.time.after(RESTART_MS, () => {
    if (node.controller === null) node.start();
    if (name === NODES.at(-1)) simulation.submitsPipelines = true;
  });
}
