#ifndef CELERYSPOOL_PRIORITY_CLASS_H
#define CELERYSPOOL_PRIORITY_CLASS_H

/* Priority class 0 is the most urgent; priorities from the last class on share
 * it. */
#define PRIORITY_CLASSES 4

#endif
