/**
 * On what basis a controller answers an agent 200: the rows of docs/incidents/lost-shard-is-answered-for.md, each for all
 * values of what it leaves open. Guards against a path to an answer that forgets one of the questions, so that agents stay
 * with a controller that may not act for them until their leases end (review/5).
 */
import assert from 'node:assert/strict';
import { it } from 'node:test';
import { answerBasis, type AnswerBasis, type ControllerStanding } from '../src/core/agents/answer-basis.js';

type Open = Readonly<{ [Field in keyof ControllerStanding]?: readonly ControllerStanding[Field][] }>;

/** A row of the table; a field that it does not name has all of its values. */
interface Row {
  readonly title: string;
  readonly when: Open;
  readonly basis: AnswerBasis | null;
}

const EITHER = [true, false] as const;
const HELD = ['complete', 'acquiring'] as const;
const ALL: Required<Open> = {
  holding: [...HELD, 'none'],
  session: ['valid', 'lapsed', 'ended'],
  hasStateContact: EITHER,
  isStateOutage: EITHER,
  isIsolated: EITHER,
  agentHasHigherToken: EITHER,
};
const NO_HIGHER_TOKEN = { agentHasHigherToken: [false] } as const;

const ROWS: readonly Row[] = [
  {
    title: 'an agent that has seen a higher token is never answered',
    when: { agentHasHigherToken: [true] },
    basis: null,
  },
  {
    title: 'a holder with a valid session answers with commands',
    when: { ...NO_HIGHER_TOKEN, holding: ['complete'], session: ['valid'] },
    basis: 'holder',
  },
  {
    title: 'a new holder with a valid session answers at once',
    when: { ...NO_HIGHER_TOKEN, holding: ['acquiring'], session: ['valid'] },
    basis: 'acquiring',
  },
  {
    title: 'a holder whose session may have expired answers in an outage',
    when: { ...NO_HIGHER_TOKEN, holding: ['complete'], session: ['lapsed'], isStateOutage: [true] },
    basis: 'holder',
  },
  {
    title: 'a new holder whose session may have expired answers in an outage',
    when: { ...NO_HIGHER_TOKEN, holding: ['acquiring'], session: ['lapsed'], isStateOutage: [true] },
    basis: 'acquiring',
  },
  {
    title: 'a holder whose session may have expired does not answer while others may reach the state service',
    when: {
      ...NO_HIGHER_TOKEN,
      holding: HELD,
      session: ['lapsed'],
      isStateOutage: [false],
      isIsolated: [false],
    },
    basis: null,
  },
  {
    title: 'a holder without the session under which it got its shard does not answer',
    when: { ...NO_HIGHER_TOKEN, holding: HELD, session: ['ended'], isIsolated: [false] },
    basis: null,
  },
  {
    title: 'an isolated holder answers agents that reach nobody else',
    when: {
      ...NO_HIGHER_TOKEN,
      holding: HELD,
      session: ['lapsed'],
      isStateOutage: [false],
      isIsolated: [true],
    },
    basis: 'sole_contact',
  },
  {
    title: 'an isolated holder without a session answers agents that reach nobody else',
    when: { ...NO_HIGHER_TOKEN, holding: HELD, session: ['ended'], isIsolated: [true] },
    basis: 'sole_contact',
  },
  {
    title: 'another controller with a valid session and contact with the state service answers as a proxy',
    when: { ...NO_HIGHER_TOKEN, holding: ['none'], session: ['valid'], hasStateContact: [true] },
    basis: 'proxy',
  },
  {
    title: 'another controller without contact with the state service does not answer',
    when: { ...NO_HIGHER_TOKEN, holding: ['none'], hasStateContact: [false], isIsolated: [false] },
    basis: null,
  },
  {
    title: 'another controller without a valid session does not answer',
    when: { ...NO_HIGHER_TOKEN, holding: ['none'], session: ['lapsed', 'ended'], isIsolated: [false] },
    basis: null,
  },
  {
    title: 'an isolated controller without contact answers agents that reach nobody else',
    when: { ...NO_HIGHER_TOKEN, holding: ['none'], hasStateContact: [false], isIsolated: [true] },
    basis: 'sole_contact',
  },
  {
    title: 'an isolated controller without a valid session answers agents that reach nobody else',
    when: { ...NO_HIGHER_TOKEN, holding: ['none'], session: ['lapsed', 'ended'], isIsolated: [true] },
    basis: 'sole_contact',
  },
];

/** All standings that the row describes. */
function standingsOf(when: Open): ControllerStanding[] {
  let standings: Partial<ControllerStanding>[] = [{}];
  for (const [field, values] of Object.entries({ ...ALL, ...when }))
    standings = standings.flatMap((standing) => values.map((value) => ({ ...standing, [field]: value })));
  return standings as ControllerStanding[];
}

const textOf = (standing: ControllerStanding): string => JSON.stringify(standing);

for (const { title, when, basis } of ROWS)
  it(title, () => {
    for (const standing of standingsOf(when)) assert.equal(answerBasis(standing), basis, textOf(standing));
  });

it('the rows leave no case out', () => {
  const covered = new Set(ROWS.flatMap(({ when }) => standingsOf(when).map(textOf)));
  assert.deepEqual(
    standingsOf({})
      .map(textOf)
      .filter((standing) => !covered.has(standing)),
    [],
  );
});
