import { z } from 'zod';
import type { TimelineEvent, WhyReason, WhyView } from '@redwingcrank/protocol';
import { CodedError } from '@redwingcrank/protocol';
import { nodesSchema } from '../cli-settings.js';
import { Command, clusterOf } from '../command.js';
import type { Output } from '../output.js';
import { formatEvent, sortEvents } from '../timeline-events.js';

const schema = nodesSchema.extend({
  task: z.string().regex(/^[^/]+\/[^/]+\/\d+$/, 'dataCentre/owner/index'),
});

/** Nodes of other data centres know nothing of the task. */
const NO_WORD = 'other-data-centre';

/** Why a task runs where it does or does not run, as all nodes together know it. */
export class Why extends Command<z.infer<typeof schema>> {
  readonly usage = 'why <task>';

  readonly summary = 'Every reason why a task runs where it does, or does not run';

  readonly examples = [['why dc1/routes/0', 'The first task of the job routes in dc1']] as const;

  readonly schema = schema;

  async run(settings: z.infer<typeof schema>, out: Output): Promise<void> {
    const nodes = await clusterOf(settings).reachable();
    const asked = nodes.map(({ client }) => client.why(settings.task).catch(() => undefined));
    const views = (await Promise.all(asked)).filter((view) => view !== undefined);
    const told = views.filter((view) => view.reasons.every(({ reason }) => reason !== NO_WORD));
    // The holder knows why a task waits; the others know the records alone.
    const best = told.find((view) => view.holds) ?? told[0];
    if (!best) {
      const detail = `no node of the data centre of ${settings.task} answered`;
      throw new CodedError('notFound', detail);
    }
    const reasons = mergeReasons(best, told);
    const history = mergeHistory(views);
    out.value({ ...best, reasons, history });
    out.line(`${best.taskId}: ${best.state}, as ${best.nodeId} knows it`);
    for (const { reason, detail } of reasons) out.line(`  ${reason}: ${detail}`);
    out.line(history.length > 0 ? 'What happened to it:' : 'No event of it is kept.');
    for (const event of history) out.line(`  ${formatEvent(event)}`);
  }
}

/** The reasons of the node that knows best, without the hint to ask the holder if it was asked. */
function mergeReasons(best: WhyView, told: readonly WhyView[]): WhyReason[] {
  const held = told.some((view) => view.holds);
  return best.reasons.filter(({ reason }) => !(held && reason === 'not-holder'));
}

function mergeHistory(views: readonly WhyView[]): TimelineEvent[] {
  return sortEvents(views.flatMap((view) => view.history));
}
