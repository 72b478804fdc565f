/** Random jobs of simulated users. One seed gives one sequence of jobs, so the order of the draws must stay as it is. */
import { submission } from '../samples.js';
import { TEAMS, ZONES, type JobOverrides, type Json } from './sizes.js';
import { newJob, type SubmittedJob } from './submitted-job.js';
import type { VirtualTime } from './virtual-time.js';

/** A job, and when its user requests its cancellation, if at all. */
export interface RandomJob {
  readonly job: SubmittedJob;
  readonly cancelAt: number | null;
}

/** A valid job of up to so many tasks; what is not given is random. */
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

/** A job with a mistake that makes it impossible on every machine. */
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

/** Services and jobs that always fail are cancelled at some time, of the others a few. */
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
