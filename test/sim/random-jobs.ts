/** Random jobs of simulated users. The order of the random draws must not change, or a seed gives other jobs. */
import { submission } from '../samples.js';
import { TEAMS, ZONES, type JobOverrides, type Json } from './sizes.js';
import { newJob, type SubmittedJob } from './submitted-job.js';
import type { VirtualTime } from './virtual-time.js';

/** A random job and its planned cancellation. */
export interface RandomJob {
  readonly job: SubmittedJob;
  /** Simulated time at which the user requests the job's cancellation; null for never. */
  readonly cancelAt: number | null;
}

/** Draws a valid job of at most `maxTasks` tasks; `overrides` replace what would be random. */
export function randomJob(
  time: VirtualTime,
  id: string,
  maxTasks: number,
  overrides: JobOverrides,
): RandomJob {
  const kind = overrides.kind ?? time.pick(['sweep', 'sweep', 'ensemble', 'daemon']);
  const tasks = overrides.tasks ?? time.int(1, kind === 'sweep' ? maxTasks : Math.ceil(maxTasks / 3));
  const body = randomBody(time, id, kind, tasks, overrides);
  const job = newJob({
    body,
    kind,
    tasks,
    runMs: overrides.runMs ?? time.int(500, 12_000),
    staggerMs: overrides.staggerMs ?? 0,
    alwaysFails: (time.happens(0.05) && overrides.kind === undefined) || overrides.alwaysFails === true,
    needs: overrides.needs ?? [],
  });
  return { job, cancelAt: randomCancellation(time, job, overrides) };
}

/** Draws a job that can never run: it is too large, or its team, machine type or zone does not exist. */
export function randomInvalidJob(time: VirtualTime, id: string): Json {
  return submission({
    nameId: id,
    tenant: 'red',
    ...time.pick([
      { tenant: 'nobody' },
      { vcpus: 17 },
      { cards: 5 },
      { memoryGb: 65 },
      { flavors: [] },
      { flavors: ['x'] },
      { vault: 'nowhere' },
      { shape: 'ensemble', cards: 4, shards: 100_000 },
    ]),
  });
}

/** Draws a job's cancellation time: always for services and jobs that always fail, for a few others; null for never. */
function randomCancellation(time: VirtualTime, job: SubmittedJob, overrides: JobOverrides): number | null {
  if (overrides.isNeverCancelled === true) return null;
  const isCancelled = job.kind === 'daemon' || job.alwaysFails || time.happens(0.15);
  return isCancelled ? time.now + time.int(50, 25_000) : null;
}

function randomBody(
  time: VirtualTime,
  id: string,
  kind: string,
  tasks: number,
  overrides: JobOverrides,
): Json {
  const isSpread = kind === 'daemon' && time.happens(0.5);
  return submission({
    nameId: id,
    tenant: time.pick([...TEAMS.keys()]),
    shape: kind,
    shards: tasks,
    vcpus: time.int(1, 6),
    cards: time.int(0, 2),
    memoryGb: time.int(1, 16),
    loaner: kind === 'sweep',
    vault: kind === 'sweep' && time.happens(0.2) ? time.pick(ZONES) : null,
    samePlace: kind !== 'daemon' && time.happens(0.5),
    scatter: isSpread,
    tier: time.pick(['production', 'urgent', 'standard', 'low']),
    ...overrides.fields,
    ...(overrides.needs === undefined ? {} : { awaits: overrides.needs }),
  });
}
