/**
 * Random faults with two standbys a shard. Guards against interleavings that no written scenario covers, such as a failover
 * while the holder resumes from a pause, or a handover during a partition. The invariants are checked after each step, and
 * all jobs must finish after the last fault.
 */
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { expectAllJobsFinish, runUntilBusy } from '../../../test/sim/fault-scenario.js';
import { injectFaults } from '../../../test/sim/faults.js';
import { advance, allControllers } from '../../../test/sim/run-helpers.js';
import type { Dependency, SimulatedController } from '../../../test/sim/simulated-controller.js';
import { requestHandover, warmStandbyPlugins } from './standby-run-helpers.js';

/** Each fault affects one controller. It begins up to 3 s after the one before and lasts up to 9 s, so faults overlap. */
const faultSequences = fc.array(
  fc.record({
    kind: fc.constantFrom('kill', 'pause', 'cut_peers', 'cut_state', 'cut_off', 'handover'),
    node: fc.nat(2),
    afterMs: fc.integer({ min: 0, max: 3000 }),
    forMs: fc.integer({ min: 50, max: 9000 }),
  }),
  { minLength: 1, maxLength: 6 },
);

/** Begins a fault and returns the function that ends it. */
function beginFault(node: SimulatedController, kind: string): () => void {
  const partition = (...from: Dependency[]) => {
    for (const dependency of from) node.unreachable.add(dependency);
    return () => {
      for (const dependency of from) node.unreachable.delete(dependency);
    };
  };
  switch (kind) {
    case 'kill':
      if (node.controller === null) return () => undefined;
      node.crash();
      return () => {
        if (node.controller === null) node.start();
      };
    case 'pause':
      node.clock.pause();
      return () => {
        node.clock.resume();
      };
    case 'cut_peers':
      return partition('peers');
    case 'cut_state':
      return partition('state');
    case 'cut_off':
      return partition('state', 'agents', 'peers');
    default:
      if (node.controller !== null) void requestHandover(node).catch(() => undefined);
      return () => undefined;
  }
}

describe('invariants through random faults with warm standbys', () => {
  it('any sequence of faults of controllers violates no invariant and loses no job', async () => {
    await fc.assert(
      fc.asyncProperty(faultSequences, async (sequence) => {
        const simulation = await runUntilBusy(5, undefined, warmStandbyPlugins({ degree: 2 }));
        const endings: (() => void)[] = [];
        for (const { kind, node, afterMs, forMs } of sequence) {
          await advance(simulation, afterMs);
          const end = beginFault(allControllers(simulation)[node]!, kind);
          endings.push(end);
          simulation.time.after(forMs, end);
        }
        await advance(simulation, 9000);
        for (const end of endings) end();
        for (const node of allControllers(simulation)) {
          node.clock.resume();
          node.unreachable.clear();
          if (node.controller === null) node.start();
        }
        await expectAllJobsFinish(simulation);
      }),
      { seed: 11, numRuns: 6, endOnFailure: true },
    );
  });

  it('overlapping random faults of controllers, agents and state service violate no invariant and lose no job', async () => {
    for (const seed of [21, 22, 23, 24]) {
      const simulation = await runUntilBusy(seed, undefined, warmStandbyPlugins({ degree: 2 }));
      try {
        simulation.isNetworkReliable = false;
        injectFaults(simulation, 60_000);
        await simulation.time.runUntil(64_000);
        await advance(simulation, 22_000);
        await expectAllJobsFinish(simulation);
      } catch (e) {
        if (e instanceof Error)
          e.message = `seed ${seed} at ${simulation.time.now.toFixed(0)} ms: ${e.message}`;
        throw e;
      }
    }
  });
});
