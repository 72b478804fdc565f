/** A watcher and its view, connected to a simulated state service that answers every request promptly. */
import type { Revision } from '../src/core/model/ids.js';
import { ClusterView } from '../src/core/state/cluster-view.js';
import type { Transport } from '../src/io/http-client.js';
import { StateClient } from '../src/io/state/state-client.js';
import type { StateServiceLimits } from '../src/io/state/state-limits.js';
import { StateWatcher, type ViewContradiction } from '../src/io/state/state-watcher.js';
import type { Budget } from './sim/request-bucket.js';
import { StateService } from './sim/state-service.js';
import { ProcessClock, VirtualTime } from './sim/virtual-time.js';

const BUDGET: Budget = { rps: 500, writeRps: 500, txnOps: 8 };
const ANSWER_MS = 5;

/** The limits that a single controller has at a state service with this budget. */
export const limitsOf = ({ rps, writeRps, txnOps }: Budget): StateServiceLimits => ({
  rps,
  writeRps,
  minRps: rps,
  minWriteRps: writeRps,
  operationsPerTransaction: txnOps,
  valueBytes: 8192,
  controllerCount: 1,
});

/** Connects a watcher; `contradictions` has those that it has reported, `changedKeys` the keys of all changes. */
export function connectWatcher() {
  const time = new VirtualTime(7);
  const state = new StateService(time, BUDGET);
  const clock = new ProcessClock(time, 1, 0);
  const transport: Transport = {
    request: (method, path, body) =>
      new Promise((resolve) => {
        time.after(ANSWER_MS, () => {
          resolve(state.handle(method, path, body));
        });
      }),
  };
  const watchTransport: Transport = {
    request: (_method, path) =>
      new Promise((resolve) => {
        state.watch(path, resolve);
      }),
  };
  const client = new StateClient({ limits: limitsOf(BUDGET), clock, transport, watchTransport });
  const view = new ClusterView();
  const contradictions: ViewContradiction[] = [];
  const changedKeys: string[] = [];
  const watcher = new StateWatcher(client, view, {
    onChanged: (keys) => changedKeys.push(...keys),
    onContradicted: (contradiction) => contradictions.push(contradiction),
  });
  void watcher.run();
  /** Writes values to the state service as another process; returns the revision. */
  const writeElsewhere = (values: Readonly<Record<string, unknown>>): Revision => {
    const then = Object.entries(values).map(([write, value]) => ({ write, value }));
    state.handle('POST', '/txn', { then });
    return state.revision as Revision;
  };
  return { time, state, client, view, watcher, contradictions, changedKeys, writeElsewhere };
}
